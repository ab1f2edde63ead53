#include "primroseweir/fleet/peer_loads.h"

namespace primroseweir {

void PeerLoads::ReplaceReport(const std::string& peer,
                              const std::vector<PeerUpstreamLoad>& upstream_loads, Instant now) {
  const auto found = reports_.find(peer);
  const auto replaced_loads = found == reports_.end() ? 0 : found->second.upstream_loads.size();
  const auto other_reports = reports_.size() - (found == reports_.end() ? 0 : 1);
  if (other_reports >= kMaxReports ||
      load_count_ - replaced_loads + upstream_loads.size() > kMaxLoads) {
    return;
  }
  load_count_ += upstream_loads.size() - replaced_loads;
  reports_[peer] = {upstream_loads, now};
}

std::unordered_map<std::uint64_t, std::uint32_t> PeerLoads::InFlightByUpstream(Instant now) {
  std::unordered_map<std::uint64_t, std::uint32_t> sums;
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (now - it->second.received_at > kReportValidity) {
      load_count_ -= it->second.upstream_loads.size();
      it = reports_.erase(it);
      continue;
    }
    for (const auto& upstream_load : it->second.upstream_loads) {
      sums[upstream_load.upstream] += upstream_load.in_flight;
    }
    ++it;
  }
  return sums;
}

}  // namespace primroseweir
