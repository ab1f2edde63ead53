#include "primroseweir/fleet/address_choice.h"

#include <algorithm>
#include <utility>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

using Ranked = std::pair<std::uint64_t, std::string>;

std::vector<std::string> Best(std::vector<Ranked> ranked, std::size_t count) {
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> ips;
  for (const auto& [score, ip] : ranked) {
    if (ips.size() < count) {
      ips.push_back(ip);
    }
  }
  return ips;
}

}  // namespace

std::vector<std::string> AddressChoice::Choose(const std::vector<FleetMember>& fleet,
                                               const DataCentre& caller) {
  std::vector<Ranked> near;
  std::vector<Ranked> all;
  for (const auto& member : fleet) {
    if (member.leaving) {
      continue;
    }
    const Ranked ranked{StableHash(member.ip), member.ip};
    all.push_back(ranked);
    if (member.data_centre == caller) {
      near.push_back(ranked);
    }
  }
  return Best(near.empty() ? std::move(all) : std::move(near), kPerDataCentre);
}

}  // namespace primroseweir
