#include "primroseweir/routing/detail/explain.h"

#include "primroseweir/base/error.h"
#include "primroseweir/routing/detail/service_runtime.h"

namespace primroseweir {
namespace detail {
namespace {

UpstreamUse UseOf(const RoutingTable& table, const UpstreamState& state) {
  if (table.out.count(state.record().data_centre) != 0) return UpstreamUse::kDataCentreOut;
  if (state.leaving_by_list()) return UpstreamUse::kLeavingByList;
  if (state.leaving_by_word()) return UpstreamUse::kLeavingByWord;
  if (state.window().limit() == 0) return UpstreamUse::kNoShare;
  if (state.in_flight() >= state.window().limit()) return UpstreamUse::kAtLimit;
  return state.window().open() ? UpstreamUse::kUsed : UpstreamUse::kWarmingUp;
}

UpstreamExplanation ExplainUpstream(const RoutingTable& table, const UpstreamState& state,
                                    Instant now) {
  const WarmUpWindow::Pair pair = state.window().pair();
  UpstreamExplanation explanation;
  explanation.id = state.record().id;
  explanation.data_centre = state.record().data_centre;
  explanation.use = UseOf(table, state);
  explanation.epoch = pair.epoch;
  explanation.window = pair.window;
  explanation.slots = state.record().slots;
  explanation.limit = state.window().limit();
  explanation.in_flight = state.in_flight();
  explanation.report = state.Observation(now).report;
  explanation.latency = state.latency();
  explanation.baseline = state.baseline();
  return explanation;
}

}  // namespace

absl::StatusOr<ServiceExplanation> Explain(const RoutingTable& table, const ServiceName& service,
                                           Instant now) {
  const auto found = table.services.find(service);
  if (found == table.services.end()) {
    return MakeError(absl::StatusCode::kNotFound, {"explain", ""}, "no such service");
  }
  const ServiceEntry& entry = found->second;
  const Admission& admission = entry.runtime->limits().admission;
  ServiceExplanation explanation;
  explanation.service = service;
  explanation.missing_dependency = entry.missing_dependency;
  explanation.limit = admission.limit();
  explanation.in_flight = admission.in_flight();
  explanation.waiting = admission.waiting();
  for (const auto& state : entry.listed) {
    explanation.upstreams.push_back(ExplainUpstream(table, *state, now));
  }
  return explanation;
}

}  // namespace detail

const char* UpstreamUseName(UpstreamUse use) {
  switch (use) {
    case UpstreamUse::kUsed:
      return "used";
    case UpstreamUse::kWarmingUp:
      return "warming_up";
    case UpstreamUse::kNoShare:
      return "no_share";
    case UpstreamUse::kAtLimit:
      return "at_limit";
    case UpstreamUse::kDataCentreOut:
      return "data_centre_out";
    case UpstreamUse::kLeavingByList:
      return "leaving_by_list";
    case UpstreamUse::kLeavingByWord:
      return "leaving_by_word";
  }
  return "unknown";
}

}  // namespace primroseweir
