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

absl::Status Full() {
  return NotExecuted(absl::StatusCode::kResourceExhausted, "all upstreams are at their limits");
}

}  // namespace

absl::StatusOr<UpstreamLease> Picker::Acquire(const CallRequest& request, Instant now) {
  if (!entry_.missing_dependency.empty()) {
    return NotExecuted(
        absl::StatusCode::kUnavailable,
        "the dependency " + entry_.missing_dependency.value() + " has no upstream in service");
  }
  const CrashGuard::Classification classification = shared_->guard->Check(request.fingerprint, now);
  if (classification == CrashGuard::Classification::kQuarantined) {
    return NotExecuted(absl::StatusCode::kFailedPrecondition,
                       "the request was lost with two upstreams and is refused for ten minutes");
  }
  const bool suspect = classification == CrashGuard::Classification::kSuspect;
  const auto scratch = pool_->Borrow();
  CollectResult found = Collect(request, suspect, &*scratch, now);
  if (found == CollectResult::kAllBusy && rules_.may_claim && ClaimOne(request, now)) {
    found = Collect(request, suspect, &*scratch, now);
  } else if (found == CollectResult::kSome && rules_.may_claim && !suspect && !request.hedge) {
    ClaimNear(request, now);
  }
  if (found == CollectResult::kNone) {
    return NotExecuted(absl::StatusCode::kUnavailable, "no upstream in service");
  }
  Admission& admission = entry_.runtime->limits().admission;
  if (found == CollectResult::kAllBusy) return Full();
  if (!(rules_.from_queue ? admission.TryAcquireFromQueue() : admission.TryAcquire()))
    return Full();
  std::shared_ptr<UpstreamState> state = Pick(request, suspect, &*scratch, now);
  if (state == nullptr) {
    admission.Undo();
    return Full();
  }
  return UpstreamLease(LeaseContext{std::move(state), now, request.fingerprint, suspect, false},
                       entry_.runtime);
}

Picker::CollectResult Picker::Collect(const CallRequest& request, bool suspect, Scratch* scratch,
                                      Instant now) const {
  scratch->candidates.clear();
  scratch->usable_upstreams.clear();
  bool any = false;
  for (const ServiceEntry::UsableUpstream& usable : entry_.in_use) {
    const UpstreamState& state = *usable.state;
    if (state.leaving()) continue;
    if (!request.excluded.empty() && request.excluded.count(state.record().id) != 0) continue;
    any = true;
    const std::uint32_t limit = LimitOf(state, now);
    if (!suspect && state.in_flight() >= limit) continue;
    if (request.hedge && state.in_flight() >= state.owned_slots()) continue;
    scratch->candidates.push_back(MakeCandidate(usable, limit, now));
    scratch->usable_upstreams.push_back(&usable);
  }
  if (suspect && any) RetainAssigned(request, scratch, now);
  if (!any) return CollectResult::kNone;
  return scratch->candidates.empty() ? CollectResult::kAllBusy : CollectResult::kSome;
}

// A suspect runs at one certain upstream, which all instances choose alike. Open upstreams first:
// a cold one may be another instance's to use.
void Picker::RetainAssigned(const CallRequest& request, Scratch* scratch, Instant now) const {
  std::vector<UpstreamId> open;
  std::vector<UpstreamId> all;
  for (const ServiceEntry::UsableUpstream* usable : scratch->usable_upstreams) {
    all.push_back(usable->state->record().id);
    if (usable->state->window().open()) open.push_back(all.back());
  }
  const UpstreamId id = shared_->guard->Assign(request.fingerprint, open.empty() ? all : open, now);
  const auto place = std::find(all.begin(), all.end(), id) - all.begin();
  const ServiceEntry::UsableUpstream* usable =
      scratch->usable_upstreams[static_cast<std::size_t>(place)];
  const Candidate candidate = scratch->candidates[static_cast<std::size_t>(place)];
  scratch->usable_upstreams.clear();
  scratch->candidates.clear();
  if (candidate.local_in_flight >= LimitOf(*usable->state, now)) return;
  scratch->usable_upstreams.push_back(usable);
  scratch->candidates.push_back(candidate);
}

std::uint32_t Picker::LimitOf(const UpstreamState& state, Instant now) const {
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
  candidate.latency_age = now - state.latency_changed();
  candidate.since_refusal = state.since_refusal(now);
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

std::shared_ptr<UpstreamState> Picker::Pick(const CallRequest& request, bool suspect,
                                            Scratch* scratch, Instant now) {
  LoadBalancingPolicy& policy = pool_->PolicyOf(scratch, entry_.runtime->number());
  auto& candidates = scratch->candidates;
  auto& usable_upstreams = scratch->usable_upstreams;
  while (!candidates.empty()) {
    const std::size_t pick = policy.Pick(candidates, &scratch->random, now);
    const ServiceEntry::UsableUpstream& usable = *usable_upstreams[pick];
    if (TryStart(request, suspect, usable, now)) return usable.state;
    // Another thread took the last place there.
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(pick));
    usable_upstreams.erase(usable_upstreams.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  return nullptr;
}

bool Picker::TryStart(const CallRequest& request, bool suspect,
                      const ServiceEntry::UsableUpstream& usable, Instant now) {
  UpstreamState& state = *usable.state;
  if (!state.TryStart(LimitOf(state, now), now)) return false;
  if (!suspect || shared_->guard->TryStart(request.fingerprint, state.record().id)) return true;
  state.Undo();
  return false;
}

bool Picker::IsOwnerSilent(const CallRequest& request, const UpstreamState& state,
                           Instant now) const {
  if (state.leaving() || state.window().limit() > 0 ||
      request.excluded.count(state.record().id) != 0) {
    return false;
  }
  const auto report = state.report();
  // Calls in flight by a report newer than the silence show that an owner sends. A report of an
  // idle upstream does not: the owner's probes bring such reports although it has no callers.
  const bool fresh = report && now - report->written_at < WarmUpWindow::kSilenceTimeout;
  return !fresh || report->in_flight == 0;
}

bool Picker::Claim(UpstreamState* state, Duration settle, Instant now) {
  if (!state->window().Claim(now, settle)) return false;
  shared_->Send(*state, now);
  entry_.runtime->Refresh();
  return true;
}

// Claims one window if this instance may send nowhere: waiting for a lease's end would not help.
bool Picker::ClaimOne(const CallRequest& request, Instant now) {
  for (const ServiceEntry::UsableUpstream& usable : entry_.in_use) {
    const UpstreamState& state = *usable.state;
    if (!state.leaving() && request.excluded.count(state.record().id) == 0 &&
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

// Claims the window of an upstream of the own data centre whose owner is elsewhere and has no need
// of it: calls of a data centre that returned went to the others for as long as those had room. The
// call goes elsewhere meanwhile, so that there is time for the owner's last call to be heard of.
void Picker::ClaimNear(const CallRequest& request, Instant now) {
  (void)std::any_of(entry_.in_use.begin(), entry_.in_use.end(),
                    [&](const ServiceEntry::UsableUpstream& usable) {
                      return usable.round_trip_time == Duration::zero() &&
                             IsOwnerSilent(request, *usable.state, now) &&
                             Claim(usable.state.get(), WarmUpWindow::kClaimSettleTime, now);
                    });
}

}  // namespace detail
}  // namespace primroseweir
