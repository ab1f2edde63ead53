#ifndef PRIMROSEWEIR_UPSTREAM_OBSERVATION_H_
#define PRIMROSEWEIR_UPSTREAM_OBSERVATION_H_

#include <cstdint>
#include <optional>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Load that an upstream reported in an answer or a probe.
struct LoadReport {
  // Calls in the upstream, waiting ones included, over the whole fleet.
  std::uint32_t in_flight = 0;
  // Typical time of a call there.
  Duration latency{};
  // Time since the upstream wrote the report.
  Duration age{};
};

// What an instance knows about one upstream, as instances exchange it. Merging is commutative,
// associative and idempotent: the greater (epoch, window) wins, and the younger report.
struct UpstreamObservation {
  UpstreamId id;
  Epoch epoch;
  // Calls at a time that the whole fleet may send during the warm-up.
  std::uint32_t window = 1;
  std::optional<LoadReport> report;
  // The upstream itself said that it is leaving.
  bool leaving = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_UPSTREAM_OBSERVATION_H_
