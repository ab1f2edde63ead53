#ifndef PRIMROSEWEIR_FLEET_PEER_LOADS_H_
#define PRIMROSEWEIR_FLEET_PEER_LOADS_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "primroseweir/base/time.h"
#include "primroseweir/fleet/peer_load_report.h"

namespace primroseweir {

// Calls of the other instances at each upstream, from their newest load reports.
class PeerLoads {
 public:
  // Replaces the previous report of `peer`.
  void ReplaceReport(const std::string& peer, const std::vector<PeerUpstreamLoad>& upstream_loads,
                     Instant now);

  // Whether no report is stored.
  bool empty() const { return reports_.empty(); }

  // Returns the calls in flight of all peers per upstream hash, and removes reports older than
  // kReportValidity. Linear in the reports.
  std::unordered_map<std::uint64_t, std::uint32_t> InFlightByUpstream(Instant now);

  // A peer with calls in flight reports more often than this.
  static constexpr Duration kReportValidity = std::chrono::milliseconds(400);

 private:
  struct Report {
    std::vector<PeerUpstreamLoad> upstream_loads;
    Instant received_at;
  };

  std::map<std::string, Report> reports_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_PEER_LOADS_H_
