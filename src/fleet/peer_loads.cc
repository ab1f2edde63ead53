#include "primroseweir/fleet/peer_loads.h"

namespace primroseweir {

void PeerLoads::Take(const std::string& peer, const std::vector<UpstreamUse>& uses, Instant now) {
  digests_[peer] = {uses, now};
}

std::unordered_map<std::uint64_t, std::uint32_t> PeerLoads::Sums(Instant now) {
  std::unordered_map<std::uint64_t, std::uint32_t> sums;
  for (auto it = digests_.begin(); it != digests_.end();) {
    if (now - it->second.heard > kValidity) {
      it = digests_.erase(it);
      continue;
    }
    for (const auto& use : it->second.uses) {
      sums[use.upstream] += use.in_flight;
    }
    ++it;
  }
  return sums;
}

}  // namespace primroseweir
