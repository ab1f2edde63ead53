#ifndef PRIMROSEWEIR_FLEET_SUBSET_PICKER_H_
#define PRIMROSEWEIR_FLEET_SUBSET_PICKER_H_

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
// as few instances of that data centre as can carry several times its load, the largest machines
// first; the others stand by. All instances that know the same fleet answer alike.
class SubsetPicker {
 public:
  // Addresses of instances, best first: those of the caller's data centre, or of all others when
  // none is live there. `fleet` holds the live instances, this one included. `caller` may be empty.
  // O(n log n).
  static std::vector<std::string> Pick(const std::vector<FleetMember>& fleet,
                                       const DataCentre& caller);

  // Instances that share the callers of one data centre at least: the loss of one leaves callers
  // with another that they know.
  static constexpr std::size_t kMinSubsetSize = 2;
  // Addresses of which a caller takes notice.
  static constexpr std::size_t kMaxSubsetSize = 64;
  // Load of the data centre that the chosen instances must be able to carry, so that bursts and
  // losses find room until callers ask again.
  static constexpr double kHeadroomFactor = 3;
  // Processor time of one call with its probes, in thousandths of a core for each call a second.
  static constexpr double kMillicoresPerCall = 0.35;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_SUBSET_PICKER_H_
