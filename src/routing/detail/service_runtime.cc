#include "primroseweir/routing/detail/service_runtime.h"

#include <algorithm>
#include <utility>

#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {
namespace detail {
namespace {

// An upstream that reports this many calls per slot is overloaded even if it refuses none. At high
// but bearable load, independent choices of many instances bring it to about 2 at times.
constexpr std::uint32_t kOverloadPerSlot = 3;

bool Overloaded(const LeaseTerms& terms, const CallResult& result) {
  if (result.end == AttemptEnd::kRefused || result.end == AttemptEnd::kTimedOut) return true;
  return result.report.has_value() &&
         result.report->in_flight > kOverloadPerSlot * terms.state->record().slots;
}

Admission::Signal SignalOf(const LeaseTerms& terms, const CallResult& result) {
  if (Overloaded(terms, result)) return Admission::Signal::kOverload;
  return result.end == AttemptEnd::kAnswered ? Admission::Signal::kGood
                                             : Admission::Signal::kNeutral;
}

}  // namespace

RouterShared::RouterShared() : guard(std::make_unique<CrashGuard>()) {}
RouterShared::~RouterShared() = default;

void RouterShared::Send(const UpstreamState& state, Instant now) {
  const std::lock_guard<std::mutex> lock(sender_mutex);
  if (sender) sender(state.Observation(now));
}

ServiceRuntime::ServiceRuntime(std::uint64_t number, std::shared_ptr<RouterShared> shared)
    : number_(number), shared_(std::move(shared)) {}

void ServiceRuntime::SetUpstreams(std::vector<std::shared_ptr<UpstreamState>> upstreams) {
  const std::lock_guard<std::mutex> lock(mutex_);
  upstreams_ = std::move(upstreams);
}

void ServiceRuntime::Refresh() {
  Admission::Capacity capacity;
  capacity.live = shared_->live.load(std::memory_order_acquire);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& state : upstreams_) {
      if (state->leaving()) continue;
      const WarmUpWindow& window = state->window();
      (window.open() ? capacity.open_slots : capacity.own_shares) += window.limit();
    }
  }
  limits_.admission.SetCapacity(capacity);
  limits_.admission.Wake();
}

void ServiceRuntime::Ended(const LeaseTerms& terms, const CallResult& result, Instant now) {
  if (terms.probe) {
    EndedProbe(terms, result, now);
    return;
  }
  UpstreamState& state = *terms.state;
  const bool was_leaving = state.leaving();
  const auto effect = state.End(result, terms.started, now);
  if (terms.suspect) shared_->guard->End(terms.fingerprint, state.record().id);
  if (result.end == AttemptEnd::kAnswered) {
    limits_.hedges.Record(result.time_to_head);
    shared_->guard->NoteSuccess(terms.fingerprint, state.record().id, now);
  }
  const bool began_leaving = !was_leaving && state.leaving();
  if (effect == UpstreamState::Effect::kCollapsed || began_leaving) shared_->Send(state, now);
  const bool changed = effect != UpstreamState::Effect::kNone || began_leaving;
  limits_.admission.Leave(SignalOf(terms, result), now - terms.started, now);
  if (changed) Refresh();
}

void ServiceRuntime::EndedProbe(const LeaseTerms& terms, const CallResult& result, Instant now) {
  const bool was_leaving = terms.state->leaving();
  terms.state->EndProbe(result, now);
  if (!was_leaving && terms.state->leaving()) shared_->Send(*terms.state, now);
  Refresh();
}

}  // namespace detail
}  // namespace primroseweir
