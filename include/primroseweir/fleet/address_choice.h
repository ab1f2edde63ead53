#ifndef PRIMROSEWEIR_FLEET_ADDRESS_CHOICE_H_
#define PRIMROSEWEIR_FLEET_ADDRESS_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/fleet/fleet_member.h"

namespace primroseweir {

// Which instances a caller should connect to.
//
// Load pattern: calls of a few tens of milliseconds at upstreams with few slots. Each instance
// knows its own calls exactly and those of others with delay, so the calls of one data centre go to
// few instances of that data centre; the others stand by. All instances that know the same fleet
// answer alike.
class AddressChoice {
 public:
  // Addresses of up to kPerDataCentre instances, best first: those of the caller's data centre, or
  // of all others when none is live there. `fleet` holds the live instances, this one included.
  // `caller` may be empty. O(n log n).
  static std::vector<std::string> Choose(const std::vector<FleetMember>& fleet,
                                         const DataCentre& caller);

  // Instances of one data centre that share its callers: enough that the loss of one leaves callers
  // with others they know.
  static constexpr std::size_t kPerDataCentre = 2;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_ADDRESS_CHOICE_H_
