#ifndef PRIMROSEWEIR_ROUTING_PROBE_CONTROLLER_H_
#define PRIMROSEWEIR_ROUTING_PROBE_CONTROLLER_H_

#include <cstddef>
#include <functional>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/upstream_lease.h"

namespace primroseweir {

class Router;
class UpstreamState;

// Decides which upstreams to probe: those that are in use, have a configured probe, have no fresh
// load report, and whose probe budget allows it. A connection that is opened only to measure is
// part of its probe.
class ProbeController {
 public:
  // Sends one probe and finishes its lease; must not block.
  using Probe = std::function<void(UpstreamLease)>;

  ProbeController(Router* router, Probe probe);

  // Starts the probes that are due and returns their number. Call it every kTickInterval from one
  // thread. Linear in the number of upstreams.
  std::size_t Tick(Instant now);

  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  // An upstream is not probed while its newest load report, received by any instance, is younger
  // than this.
  static constexpr Duration kMaxReportAge = std::chrono::milliseconds(500);

 private:
  bool ShouldProbe(const UpstreamState& state, Instant now) const;

  Router* const router_;
  const Probe probe_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_PROBE_CONTROLLER_H_
