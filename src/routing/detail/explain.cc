#include "primroseweir/routing/detail/explain.h"

#include "primroseweir/base/error.h"
#include "primroseweir/routing/detail/service_runtime.h"

namespace primroseweir {
namespace detail {
namespace {

Availability AvailabilityOf(const RoutingTable& table, const UpstreamState& state) {
  if (table.drained.count(state.record().data_centre) != 0) return Availability::kDataCentreOut;
  if (state.is_leaving_listed()) return Availability::kLeavingListed;
  if (state.is_leaving_self_reported()) return Availability::kLeavingSelfReported;
  if (state.window().limit() == 0) return Availability::kNoShare;
  if (state.in_flight() >= state.window().limit()) return Availability::kAtLimit;
  return state.window().is_open() ? Availability::kUsed : Availability::kWarmingUp;
}

UpstreamExplanation ExplainUpstream(const RoutingTable& table, const UpstreamState& state,
                                    Instant now) {
  const WarmUpWindow::EpochWindow pair = state.window().epoch_window();
  UpstreamExplanation explanation;
  explanation.id = state.record().id;
  explanation.data_centre = state.record().data_centre;
  explanation.availability = AvailabilityOf(table, state);
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
  const AdmissionController& admission = entry.runtime->limits().admission;
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

const char* AvailabilityName(Availability availability) {
  switch (availability) {
    case Availability::kUsed:
      return "used";
    case Availability::kWarmingUp:
      return "warming_up";
    case Availability::kNoShare:
      return "no_share";
    case Availability::kAtLimit:
      return "at_limit";
    case Availability::kDataCentreOut:
      return "data_centre_out";
    case Availability::kLeavingListed:
      return "leaving_by_list";
    case Availability::kLeavingSelfReported:
      return "leaving_by_word";
  }
  return "unknown";
}

}  // namespace primroseweir
