#ifndef PRIMROSEWEIR_ROUTING_SLOT_OWNERSHIP_H_
#define PRIMROSEWEIR_ROUTING_SLOT_OWNERSHIP_H_

#include <cstdint>
#include <set>
#include <vector>

#include "primroseweir/base/ids.h"

namespace primroseweir {

// An upstream whose slots are divided among the instances.
struct OwnableUpstream {
  UpstreamId id;
  std::uint32_t slots = 1;
};

// Divides all slots evenly among the live seats: instances with the same view agree without
// talking. An owned slot is one that the others use last, so that two instances seldom collide
// there. It is a preference; wrong views cost latency, never correctness. Answers the number of
// slots that `own` has at each upstream, in the order of `upstreams`. Complexity: O(s log s) for s
// slots in all.
std::vector<std::uint32_t> OwnedSlots(const std::vector<OwnableUpstream>& upstreams,
                                      const std::set<Seat>& live_seats, Seat own);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_SLOT_OWNERSHIP_H_
