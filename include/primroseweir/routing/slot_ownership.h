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

// Divides all slots evenly among the live seats and returns the number of slots that `own_seat`
// owns at each upstream, in the order of `upstreams`. Instances with the same view of the seats
// compute the same division without communication. The other instances use an owned slot last, so
// that two instances seldom send to the same slot. Ownership is a preference: different views cost
// latency, never correctness. Complexity: O(s log s) for s slots in all.
std::vector<std::uint32_t> OwnedSlots(const std::vector<OwnableUpstream>& upstreams,
                                      const std::set<Seat>& live_seats, Seat own_seat);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_SLOT_OWNERSHIP_H_
