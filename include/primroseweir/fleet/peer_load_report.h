#ifndef PRIMROSEWEIR_FLEET_PEER_LOAD_REPORT_H_
#define PRIMROSEWEIR_FLEET_PEER_LOAD_REPORT_H_

#include <cstdint>
#include <vector>

#include "primroseweir/limits/crash_strike.h"

namespace primroseweir {

// What one instance tells the others about its calls at one upstream.
struct PeerUpstreamLoad {
  // Hash of the upstream's id.
  std::uint64_t upstream = 0;
  std::uint32_t in_flight = 0;
  // Slowdown that the upstream stated, in percent of its usual time, and the age of that statement.
  std::uint32_t slowdown_percent = 100;
  std::uint32_t age_ms = 0;
};

// The calls of one instance, several times a second, and the crash strikes it saw.
struct PeerLoadReport {
  std::vector<PeerUpstreamLoad> upstream_loads;
  std::vector<CrashStrike> strikes;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_PEER_LOAD_REPORT_H_
