#ifndef PRIMROSEWEIR_UPSTREAM_UPSTREAM_OBSERVATION_H_
#define PRIMROSEWEIR_UPSTREAM_UPSTREAM_OBSERVATION_H_

#include <cstdint>
#include <optional>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Load that an upstream reported with a response or a probe.
struct LoadReport {
  // Calls of the whole fleet at the upstream, including queued ones.
  std::uint32_t in_flight = 0;
  // Typical time that a call takes there.
  Duration latency{};
  // Time since the upstream wrote the report.
  Duration age{};
};

// State of one upstream as one instance knows it, exchanged between instances. Merging is
// commutative, associative and idempotent: the greater (epoch, window) and the more recent report
// are kept.
struct UpstreamObservation {
  UpstreamId id;
  Epoch epoch;
  // Number of concurrent calls that the whole fleet may send during the warm-up.
  std::uint32_t window = 1;
  std::optional<LoadReport> report;
  // The upstream itself reported that it is leaving.
  bool leaving = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_UPSTREAM_UPSTREAM_OBSERVATION_H_
