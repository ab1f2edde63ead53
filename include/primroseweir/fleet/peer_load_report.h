#ifndef PRIMROSEWEIR_FLEET_PEER_LOAD_REPORT_H_
#define PRIMROSEWEIR_FLEET_PEER_LOAD_REPORT_H_

#include <cstdint>
#include <vector>

#include "primroseweir/limits/crash_strike.h"

namespace primroseweir {

// Load of one instance at one upstream, as reported to its peers.
struct PeerUpstreamLoad {
  // Hash of the upstream's id.
  std::uint64_t upstream = 0;
  std::uint32_t in_flight = 0;
  // Slowdown that the upstream reported, in percent of its usual latency, and the age of that
  // report, 0 when there is none.
  std::uint32_t slowdown_percent = 100;
  std::uint32_t age_ms = 0;
};

// Load report of one instance, sent several times a second, with the crash strikes that it
// observed.
struct PeerLoadReport {
  std::vector<PeerUpstreamLoad> upstream_loads;
  std::vector<CrashStrike> strikes;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_PEER_LOAD_REPORT_H_
