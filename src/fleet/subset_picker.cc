#include "primroseweir/fleet/subset_picker.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

// Larger machines first; equal ones in an order that all instances agree on.
std::vector<FleetMember> Ranked(std::vector<FleetMember> members) {
  std::sort(members.begin(), members.end(), [](const FleetMember& a, const FleetMember& b) {
    const auto rank = [](const FleetMember& member) {
      const auto& capacity = member.capacity;
      return std::make_tuple(-static_cast<std::int64_t>(capacity.millicores) *
                                 static_cast<std::int64_t>(capacity.link_kilobytes),
                             StableHash(member.ip));
    };
    return rank(a) < rank(b);
  });
  return members;
}

// Whether `count` machines, of which the smallest has that size, carry the load with headroom.
// Callers choose evenly among the addresses they know, so that a small machine gets as much as a
// large one.
bool Enough(const FleetCapacity& smallest, std::size_t count, const FleetCapacity& load) {
  const auto machines = static_cast<double>(count);
  const double millicores = load.calls * SubsetPicker::kMillicoresPerCall;
  return smallest.millicores * machines >= millicores * SubsetPicker::kHeadroomFactor &&
         smallest.link_kilobytes * machines >= load.kilobytes * SubsetPicker::kHeadroomFactor;
}

std::vector<std::string> Best(std::vector<FleetMember> members) {
  FleetCapacity load;
  for (const auto& member : members) {
    load.calls += member.capacity.calls;
    load.kilobytes += member.capacity.kilobytes;
  }
  members.erase(std::remove_if(members.begin(), members.end(),
                               [](const FleetMember& member) { return member.leaving; }),
                members.end());
  std::vector<std::string> ips;
  FleetCapacity smallest;
  for (const auto& member : Ranked(std::move(members))) {
    const bool enough =
        ips.size() >= SubsetPicker::kMinSubsetSize && Enough(smallest, ips.size(), load);
    if (enough || ips.size() >= SubsetPicker::kMaxSubsetSize) {
      break;
    }
    const auto& capacity = member.capacity;
    const bool first = ips.empty();
    smallest.millicores =
        first ? capacity.millicores : std::min(smallest.millicores, capacity.millicores);
    smallest.link_kilobytes = first ? capacity.link_kilobytes
                                    : std::min(smallest.link_kilobytes, capacity.link_kilobytes);
    ips.push_back(member.ip);
  }
  return ips;
}

}  // namespace

std::vector<std::string> SubsetPicker::Pick(const std::vector<FleetMember>& fleet,
                                            const DataCentre& caller) {
  std::vector<FleetMember> near;
  for (const auto& member : fleet) {
    if (member.data_centre == caller) {
      near.push_back(member);
    }
  }
  auto ips = Best(std::move(near));
  return ips.empty() ? Best(fleet) : ips;
}

}  // namespace primroseweir
