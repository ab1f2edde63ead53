#ifndef PRIMROSEWEIR_MEMBERSHIP_URGENT_ITEMS_H_
#define PRIMROSEWEIR_MEMBERSHIP_URGENT_ITEMS_H_

#include <vector>

#include "primroseweir/limits/crash_strike.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// Items to send to the peers immediately. Every message also carries the sender's configuration
// revision and member state, so an empty object announces a change of either.
struct UrgentItems {
  std::vector<UpstreamObservation> observations;
  std::vector<CrashStrike> strikes;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_URGENT_ITEMS_H_
