#ifndef PRIMROSEWEIR_ROUTING_PROBE_CONTROLLER_H_
#define PRIMROSEWEIR_ROUTING_PROBE_CONTROLLER_H_

#include <cstddef>
#include <functional>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/upstream_lease.h"

namespace primroseweir {

class Router;
class UpstreamState;

// Decides which upstreams to probe: those in use that name a probe, have no fresh report, and whose
// budget allows it (design 7.1). A connection opened only to measure is part of its probe.
class ProbeController {
 public:
  // Performs one probe and finishes its lease; must not block.
  using Probe = std::function<void(UpstreamLease)>;

  ProbeController(Router* router, Probe probe);

  // Starts the probes that are due. Call it every kTickPeriod from one thread. Answers their
  // number. Linear in the upstreams.
  std::size_t Tick(Instant now);

  static constexpr Duration kTickPeriod = std::chrono::milliseconds(100);
  // An upstream whose newest report, of any instance, is younger is not probed.
  static constexpr Duration kMaxReportAge = std::chrono::milliseconds(500);

 private:
  bool ShouldProbe(const UpstreamState& state, Instant now) const;

  Router* const router_;
  const Probe probe_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_PROBE_CONTROLLER_H_
