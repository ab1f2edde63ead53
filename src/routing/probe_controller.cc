#include "primroseweir/routing/probe_controller.h"

#include <utility>

#include "primroseweir/routing/router.h"
#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {

ProbeController::ProbeController(Router* router, Probe probe)
    : router_(router), probe_(std::move(probe)) {}

std::size_t ProbeController::Tick(Instant now) {
  std::size_t started = 0;
  for (const auto& state : router_->Upstreams()) {
    if (!ShouldProbe(*state, now) || !state->probe_budget().TryAcquire(now)) continue;
    auto lease = router_->AcquireProbe(state->record().id, now);
    if (!lease.ok()) continue;
    probe_(std::move(*lease));
    ++started;
  }
  return started;
}

bool ProbeController::ShouldProbe(const UpstreamState& state, Instant now) const {
  if (!state.is_in_use() || state.is_leaving() || state.record().probe_target.empty()) return false;
  if (state.in_flight() >= state.window().limit()) return false;
  const auto report = state.report();
  return !report || now - report->written_at >= kMaxReportAge;
}

}  // namespace primroseweir
