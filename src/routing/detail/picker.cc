#include "primroseweir/routing/detail/picker.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/error.h"

namespace primroseweir {
namespace detail {
namespace {

absl::Status NotExecuted(absl::StatusCode code, const std::string& message) {
  return MakeError(code, {"admission", ""}, message);
}

absl::Status AtLimit() {
  return NotExecuted(absl::StatusCode::kResourceExhausted, "all upstreams are at their limits");
}

}  // namespace

absl::StatusOr<UpstreamLease> Picker::Acquire(const CallRequest& request, Instant now) {
  if (!entry_.missing_dependency.empty()) {
    return NotExecuted(absl::StatusCode::kUnavailable,
                       "the dependency " + entry_.missing_dependency.value() +
                           " has no upstream in service, or lacks a dependency itself");
  }
  const CrashGuard::Classification classification = shared_->guard->Check(request.fingerprint, now);
  if (classification == CrashGuard::Classification::kQuarantined) {
    return NotExecuted(
        absl::StatusCode::kFailedPrecondition,
        "connections to two upstreams were lost during the request; it is refused for ten minutes");
  }
  const bool is_suspect = classification == CrashGuard::Classification::kSuspect;
  const auto scratch = pool_->Borrow();
  CollectResult found = Collect(request, is_suspect, &*scratch, now);
  if (found == CollectResult::kAllBusy && rules_.may_claim && ClaimIfNoShare(request, now)) {
    found = Collect(request, is_suspect, &*scratch, now);
  } else if (found == CollectResult::kFound && rules_.may_claim && !is_suspect && !request.hedge) {
    ClaimLocal(request, now);
  }
  if (found == CollectResult::kNoneEligible) {
    return NotExecuted(absl::StatusCode::kUnavailable, "no upstream in service");
  }
  AdmissionController& limiter = entry_.runtime->limits().admission;
  if (found == CollectResult::kAllBusy) return AtLimit();
  if (!(rules_.from_queue ? limiter.TryAcquireFromQueue() : limiter.TryAcquire())) return AtLimit();
  std::shared_ptr<UpstreamState> state = Pick(request, is_suspect, &*scratch, now);
  if (state == nullptr) {
    limiter.Undo();
    return AtLimit();
  }
  return UpstreamLease(LeaseContext{std::move(state), now, request.fingerprint, is_suspect, false},
                       entry_.runtime);
}

Picker::CollectResult Picker::Collect(const CallRequest& request, bool is_suspect, Scratch* scratch,
                                      Instant now) const {
  scratch->candidates.clear();
  scratch->usable_upstreams.clear();
  bool any_eligible = false;
  for (const ServiceEntry::UsableUpstream& usable : entry_.in_use) {
    const UpstreamState& state = *usable.state;
    if (state.is_leaving()) continue;
    if (!request.excluded.empty() && request.excluded.count(state.record().id) != 0) continue;
    any_eligible = true;
    const std::uint32_t limit = EffectiveLimit(state, now);
    if (!is_suspect && state.in_flight() >= limit) continue;
    if (request.hedge && state.in_flight() >= state.owned_slots()) continue;
    scratch->candidates.push_back(MakeCandidate(usable, limit, now));
    scratch->usable_upstreams.push_back(&usable);
  }
  if (is_suspect && any_eligible) RetainAssigned(request, scratch, now);
  if (!any_eligible) return CollectResult::kNoneEligible;
  return scratch->candidates.empty() ? CollectResult::kAllBusy : CollectResult::kFound;
}

// Reduces the candidates to the one upstream that is assigned to the suspect and that all instances
// pick alike. Open upstreams are preferred, because the window of a cold one may belong to another
// instance.
void Picker::RetainAssigned(const CallRequest& request, Scratch* scratch, Instant now) const {
  std::vector<UpstreamId> open;
  std::vector<UpstreamId> all;
  for (const ServiceEntry::UsableUpstream* usable : scratch->usable_upstreams) {
    all.push_back(usable->state->record().id);
    if (usable->state->window().is_open()) open.push_back(all.back());
  }
  const UpstreamId id = shared_->guard->Assign(request.fingerprint, open.empty() ? all : open, now);
  const auto position = std::find(all.begin(), all.end(), id) - all.begin();
  const ServiceEntry::UsableUpstream* usable =
      scratch->usable_upstreams[static_cast<std::size_t>(position)];
  const Candidate candidate = scratch->candidates[static_cast<std::size_t>(position)];
  scratch->usable_upstreams.clear();
  scratch->candidates.clear();
  if (candidate.local_in_flight >= EffectiveLimit(*usable->state, now)) return;
  scratch->usable_upstreams.push_back(usable);
  scratch->candidates.push_back(candidate);
}

std::uint32_t Picker::EffectiveLimit(const UpstreamState& state, Instant now) const {
  if (!state.window().is_settled(now)) return 0;
  const std::uint32_t limit = state.window().limit();
  return rules_.window_untrusted ? std::min(limit, 1U) : limit;
}

Candidate Picker::MakeCandidate(const ServiceEntry::UsableUpstream& usable, std::uint32_t limit,
                                Instant now) const {
  const UpstreamState& state = *usable.state;
  Candidate candidate;
  candidate.index = usable.index;
  candidate.slots = std::max(limit, 1U);
  candidate.owned_slots = std::min(state.owned_slots(), limit);
  candidate.local_in_flight = state.in_flight();
  candidate.latency = state.latency();
  candidate.latency_age = now - state.latency_changed_at();
  candidate.time_since_refusal = state.time_since_refusal(now);
  candidate.round_trip_time = usable.round_trip_time;
  if (const auto report = state.report()) {
    candidate.has_report = true;
    candidate.reported_in_flight = report->in_flight;
    candidate.report_age = std::max(now - report->written_at, Duration::zero());
    candidate.sent_since_report = state.sent() - report->sent;
    candidate.ended_since_report = state.ended() - report->ended;
  }
  return candidate;
}

std::shared_ptr<UpstreamState> Picker::Pick(const CallRequest& request, bool is_suspect,
                                            Scratch* scratch, Instant now) {
  LoadBalancingPolicy& policy = pool_->PolicyOf(scratch, entry_.runtime->service_number());
  auto& candidates = scratch->candidates;
  auto& usable_upstreams = scratch->usable_upstreams;
  while (!candidates.empty()) {
    const std::size_t pick = policy.Pick(candidates, &scratch->random, now);
    const ServiceEntry::UsableUpstream& usable = *usable_upstreams[pick];
    if (TryStart(request, is_suspect, usable, now)) return usable.state;
    // Another thread took the last free slot there.
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(pick));
    usable_upstreams.erase(usable_upstreams.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  return nullptr;
}

bool Picker::TryStart(const CallRequest& request, bool is_suspect,
                      const ServiceEntry::UsableUpstream& usable, Instant now) {
  UpstreamState& state = *usable.state;
  if (!state.TryStart(EffectiveLimit(state, now), now)) return false;
  if (!is_suspect || shared_->guard->TryStart(request.fingerprint, state.record().id)) return true;
  state.Undo();
  return false;
}

bool Picker::IsOwnerSilent(const CallRequest& request, const UpstreamState& state,
                           Instant now) const {
  if (state.is_leaving() || state.window().limit() > 0 ||
      request.excluded.count(state.record().id) != 0) {
    return false;
  }
  const auto report = state.report();
  // Calls in flight in a report younger than the silence time-out show that an owner sends calls. A
  // report of an idle upstream does not: the owner's probes produce such reports even if it has no
  // callers.
  const bool fresh = report && now - report->written_at < WarmUpWindow::kSilenceTimeout;
  return !fresh || report->in_flight == 0;
}

bool Picker::Claim(UpstreamState* state, Duration settle_time, Instant now) {
  if (!state->window().Claim(now, settle_time)) return false;
  shared_->NotifyPeers(*state, now);
  entry_.runtime->RefreshCapacity();
  return true;
}

// Claims one window if this instance has no share of any eligible upstream: waiting for the end of
// a lease would not help.
bool Picker::ClaimIfNoShare(const CallRequest& request, Instant now) {
  for (const ServiceEntry::UsableUpstream& usable : entry_.in_use) {
    const UpstreamState& state = *usable.state;
    if (!state.is_leaving() && request.excluded.count(state.record().id) == 0 &&
        state.window().limit() > 0) {
      return false;
    }
  }
  return std::any_of(entry_.in_use.begin(), entry_.in_use.end(),
                     [&](const ServiceEntry::UsableUpstream& usable) {
                       return IsOwnerSilent(request, *usable.state, now) &&
                              Claim(usable.state.get(), Duration::zero(), now);
                     });
}

// Claims the window of an upstream in this instance's data centre whose owner is silent: the owner
// is elsewhere and does not need the upstream. Without the claim, calls of a data centre that
// returned went to the other data centres for as long as those had room. The current call goes to
// another upstream, and the claimed share stays unused for kClaimSettleTime, so that the owner's
// last call can become known here.
void Picker::ClaimLocal(const CallRequest& request, Instant now) {
  (void)std::any_of(entry_.in_use.begin(), entry_.in_use.end(),
                    [&](const ServiceEntry::UsableUpstream& usable) {
                      return usable.round_trip_time == Duration::zero() &&
                             IsOwnerSilent(request, *usable.state, now) &&
                             Claim(usable.state.get(), WarmUpWindow::kClaimSettleTime, now);
                    });
}

}  // namespace detail
}  // namespace primroseweir
