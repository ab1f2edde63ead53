#ifndef PRIMROSEWEIR_FLEET_SUBSET_PICKER_H_
#define PRIMROSEWEIR_FLEET_SUBSET_PICKER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/fleet/fleet_member.h"

namespace primroseweir {

// Picks the subset of instances that a caller should connect to.
//
// Load pattern: calls of a few tens of milliseconds at upstreams with few slots. An instance knows
// its own calls exactly but those of others only with delay, so the calls of one data centre go to
// as few of its instances as can carry several times its load, the largest machines first; the
// others stand by. Instances that know the same fleet pick the same subset.
class SubsetPicker {
 public:
  // Returns the addresses of the picked instances, largest machines first: from the data centre
  // `caller`, or from the whole fleet when no instance there accepts callers. `fleet` holds the
  // live instances, this one included. `caller` may be empty. O(n log n).
  static std::vector<std::string> Pick(const std::vector<FleetMember>& fleet,
                                       const DataCentre& caller);

  // Minimum size if that many instances are live: the callers of a data centre that lose one
  // instance still know another.
  static constexpr std::size_t kMinSubsetSize = 2;
  // Callers use at most this many addresses.
  static constexpr std::size_t kMaxSubsetSize = 64;
  // Multiple of the data centre's load that the subset must be able to carry, so that there is room
  // for bursts and losses until callers request addresses again.
  static constexpr double kHeadroomFactor = 3;
  // Processor use of one call a second with its probes, in thousandths of a core.
  static constexpr double kMillicoresPerCall = 0.35;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_SUBSET_PICKER_H_
