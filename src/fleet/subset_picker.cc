#include "primroseweir/fleet/subset_picker.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

// Returns the members with larger machines first, and equal ones in an order on which all instances
// agree.
std::vector<FleetMember> SortedBySize(std::vector<FleetMember> members) {
  std::sort(members.begin(), members.end(), [](const FleetMember& a, const FleetMember& b) {
    const auto rank = [](const FleetMember& member) {
      const auto& capacity = member.capacity;
      return std::make_tuple(-static_cast<std::int64_t>(capacity.millicores) *
                                 static_cast<std::int64_t>(capacity.link_kilobytes_per_second),
                             StableHash(member.ip));
    };
    return rank(a) < rank(b);
  });
  return members;
}

// Whether `count` machines carry the load with headroom if each is like the smallest of them.
// Callers spread their calls evenly over the addresses, so a small machine gets as many as a large
// one.
bool HasEnoughCapacity(const FleetCapacity& smallest, std::size_t count,
                       const FleetCapacity& load) {
  const auto machines = static_cast<double>(count);
  const double millicores = load.calls_per_second * SubsetPicker::kMillicoresPerCall;
  return smallest.millicores * machines >= millicores * SubsetPicker::kHeadroomFactor &&
         smallest.link_kilobytes_per_second * machines >=
             load.kilobytes_per_second * SubsetPicker::kHeadroomFactor;
}

std::vector<std::string> PickFrom(std::vector<FleetMember> members) {
  FleetCapacity load;
  for (const auto& member : members) {
    load.calls_per_second += member.capacity.calls_per_second;
    load.kilobytes_per_second += member.capacity.kilobytes_per_second;
  }
  members.erase(std::remove_if(members.begin(), members.end(),
                               [](const FleetMember& member) { return member.leaving; }),
                members.end());
  std::vector<std::string> ips;
  FleetCapacity smallest;
  for (const auto& member : SortedBySize(std::move(members))) {
    const bool has_enough_capacity =
        ips.size() >= SubsetPicker::kMinSubsetSize && HasEnoughCapacity(smallest, ips.size(), load);
    if (has_enough_capacity || ips.size() >= SubsetPicker::kMaxSubsetSize) {
      break;
    }
    const auto& capacity = member.capacity;
    const bool is_first = ips.empty();
    smallest.millicores =
        is_first ? capacity.millicores : std::min(smallest.millicores, capacity.millicores);
    smallest.link_kilobytes_per_second =
        is_first ? capacity.link_kilobytes_per_second
                 : std::min(smallest.link_kilobytes_per_second, capacity.link_kilobytes_per_second);
    ips.push_back(member.ip);
  }
  return ips;
}

}  // namespace

std::vector<std::string> SubsetPicker::Pick(const std::vector<FleetMember>& fleet,
                                            const DataCentre& caller) {
  std::vector<FleetMember> local;
  for (const auto& member : fleet) {
    if (member.data_centre == caller) {
      local.push_back(member);
    }
  }
  auto ips = PickFrom(std::move(local));
  return ips.empty() ? PickFrom(fleet) : ips;
}

}  // namespace primroseweir
