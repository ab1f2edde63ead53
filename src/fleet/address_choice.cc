#include "primroseweir/fleet/address_choice.h"

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

// Whether machines of these sizes carry the load with headroom.
bool Enough(const FleetCapacity& sum, const FleetCapacity& load) {
  const double millicores = load.calls * AddressChoice::kMillicoresPerCall;
  return sum.millicores >= millicores * AddressChoice::kHeadroom &&
         sum.link_kilobytes >= load.kilobytes * AddressChoice::kHeadroom;
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
  FleetCapacity sum;
  for (const auto& member : Ranked(std::move(members))) {
    const bool enough = ips.size() >= AddressChoice::kLeast && Enough(sum, load);
    if (enough || ips.size() >= AddressChoice::kMost) {
      break;
    }
    sum.millicores += member.capacity.millicores;
    sum.link_kilobytes += member.capacity.link_kilobytes;
    ips.push_back(member.ip);
  }
  return ips;
}

}  // namespace

std::vector<std::string> AddressChoice::Choose(const std::vector<FleetMember>& fleet,
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
