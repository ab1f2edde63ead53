#include "primroseweir/routing/detail/service_runtime.h"

#include <algorithm>
#include <utility>

#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/routing/slot_ownership.h"
#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {
namespace detail {
namespace {

// An upstream that reports more than this many calls per slot is overloaded even if it refuses
// none. At high but sustainable load, independent picks of many instances raise the number to about
// 2 at times.
constexpr std::uint32_t kOverloadCallsPerSlot = 3;

bool IsOverloaded(const LeaseContext& context, const CallResult& call) {
  if (call.outcome == AttemptEnd::kRefused || call.outcome == AttemptEnd::kTimedOut) return true;
  return call.report.has_value() &&
         call.report->in_flight > kOverloadCallsPerSlot * context.state->record().slots;
}

AdmissionController::Signal SignalOf(const LeaseContext& context, const CallResult& result) {
  if (IsOverloaded(context, result)) return AdmissionController::Signal::kOverload;
  return result.outcome == AttemptEnd::kResponded ? AdmissionController::Signal::kGood
                                                  : AdmissionController::Signal::kNeutral;
}

}  // namespace

RouterShared::RouterShared(Seat seat)
    : guard(std::make_unique<CrashGuard>()), own_seat(seat), live_seats{seat} {}
RouterShared::~RouterShared() = default;

void RouterShared::NotifyPeers(const UpstreamState& state, Instant now) {
  const std::lock_guard<std::mutex> lock(urgent_sender_mutex);
  if (urgent_sender) urgent_sender(state.Observation(now));
}

ServiceRuntime::ServiceRuntime(std::uint64_t service_number, std::shared_ptr<RouterShared> shared)
    : service_number_(service_number), shared_(std::move(shared)) {}

void ServiceRuntime::SetUpstreams(std::vector<std::shared_ptr<UpstreamState>> upstreams) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& state : upstreams_) {
    state->SetInUse(false);
    retired_.push_back(std::move(state));
  }
  upstreams_ = std::move(upstreams);
  for (const auto& state : upstreams_) state->SetInUse(true);
}

void ServiceRuntime::RefreshCapacity() {
  AdmissionController::Capacity capacity;
  capacity.live = shared_->live_count.load(std::memory_order_acquire);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& state : upstreams_) AddToCapacity(*state, &capacity);
    const auto done = std::remove_if(retired_.begin(), retired_.end(), [](const auto& state) {
      return state->is_in_use() || state->in_flight() == 0;
    });
    retired_.erase(done, retired_.end());
    for (const auto& state : retired_) capacity.unlimited_in_flight += state->in_flight();
  }
  limits_.admission.SetCapacity(capacity);
  limits_.admission.Wake();
}

void ServiceRuntime::AddToCapacity(const UpstreamState& state,
                                   AdmissionController::Capacity* capacity) const {
  if (state.is_leaving()) {
    capacity->unlimited_in_flight += state.in_flight();
  } else if (state.window().is_open()) {
    capacity->open_slots += state.window().limit();
  } else {
    capacity->own_shares += state.window().limit();
  }
}

void ServiceRuntime::AssignSlots() {
  std::set<Seat> live_seats;
  {
    const std::lock_guard<std::mutex> lock(shared_->live_mutex);
    live_seats = shared_->live_seats;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<OwnableUpstream> ownable;
    std::vector<UpstreamState*> states;
    for (const auto& state : upstreams_) {
      if (state->is_leaving()) continue;
      ownable.push_back({state->record().id, state->record().slots});
      states.push_back(state.get());
    }
    const std::vector<std::uint32_t> owned = OwnedSlots(ownable, live_seats, shared_->own_seat);
    for (std::size_t i = 0; i < states.size(); ++i) states[i]->SetOwnedSlots(owned[i]);
  }
  RefreshCapacity();
}

void ServiceRuntime::OnLeaseEnded(const LeaseContext& context, const CallResult& result,
                                  Instant now) {
  if (context.is_probe) {
    OnProbeEnded(context, result, now);
    return;
  }
  UpstreamState& state = *context.state;
  const bool was_leaving = state.is_leaving();
  const auto effect = state.End(result, context.started, now);
  if (context.is_suspect) shared_->guard->End(context.fingerprint, state.record().id);
  if (result.outcome == AttemptEnd::kResponded) {
    limits_.hedge_policy.Record(result.time_to_head);
    shared_->guard->RecordSuccess(context.fingerprint, state.record().id, now);
  }
  const bool now_leaving = !was_leaving && state.is_leaving();
  if (effect == UpstreamState::Effect::kCollapsed || now_leaving) shared_->NotifyPeers(state, now);
  limits_.admission.Release(SignalOf(context, result), now - context.started, now);
  if (now_leaving) {
    AssignSlots();
  } else if (effect != UpstreamState::Effect::kNone || was_leaving || !state.is_in_use()) {
    RefreshCapacity();
  }
}

void ServiceRuntime::OnProbeEnded(const LeaseContext& context, const CallResult& result,
                                  Instant now) {
  const bool was_leaving = context.state->is_leaving();
  context.state->EndProbe(result, now);
  if (was_leaving || !context.state->is_leaving()) {
    RefreshCapacity();
    return;
  }
  shared_->NotifyPeers(*context.state, now);
  AssignSlots();
}

}  // namespace detail
}  // namespace primroseweir
