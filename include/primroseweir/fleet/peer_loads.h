#ifndef PRIMROSEWEIR_FLEET_PEER_LOADS_H_
#define PRIMROSEWEIR_FLEET_PEER_LOADS_H_

#include <cstddef>
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
  // Replaces the previous report of `peer`. Ignores the report if the reports of the others leave
  // no room for it.
  void ReplaceReport(const std::string& peer, const std::vector<PeerUpstreamLoad>& upstream_loads,
                     Instant now);

  // Whether no report is stored.
  bool empty() const { return reports_.empty(); }

  // Returns the calls in flight of all peers per upstream hash, and removes reports older than
  // kReportValidity. Linear in the reports.
  std::unordered_map<std::uint64_t, std::uint32_t> InFlightByUpstream(Instant now);

  // A peer with calls in flight reports more often than this.
  static constexpr Duration kReportValidity = std::chrono::milliseconds(400);
  // Limits on all reports together: 6 MB. Hundreds of instances with calls at hundreds of upstreams
  // each have less.
  static constexpr std::size_t kMaxReports = 2000;
  static constexpr std::size_t kMaxLoads = std::size_t{256} * 1024;

 private:
  struct Report {
    std::vector<PeerUpstreamLoad> upstream_loads;
    Instant received_at;
  };

  std::map<std::string, Report> reports_;
  // Loads in all reports.
  std::size_t load_count_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_PEER_LOADS_H_
