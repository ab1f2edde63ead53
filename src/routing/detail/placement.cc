#include "primroseweir/routing/detail/placement.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/error.h"

namespace primroseweir {
namespace detail {
namespace {

absl::Status NotRun(absl::StatusCode code, const std::string& message) {
  return MakeError(code, {"admission", ""}, message);
}

absl::Status Full() {
  return NotRun(absl::StatusCode::kResourceExhausted, "all upstreams are at their limits");
}

}  // namespace

absl::StatusOr<UpstreamLease> Placement::Place(const CallRequest& request, Instant now) {
  if (!entry_.missing_dependency.empty()) {
    return NotRun(
        absl::StatusCode::kUnavailable,
        "the dependency " + entry_.missing_dependency.value() + " has no upstream in service");
  }
  const CrashGuard::Verdict verdict = shared_->guard->Check(request.fingerprint, now);
  if (verdict == CrashGuard::Verdict::kQuarantined) {
    return NotRun(absl::StatusCode::kFailedPrecondition,
                  "the request was lost with two upstreams and is refused for ten minutes");
  }
  const bool suspect = verdict == CrashGuard::Verdict::kSuspect;
  const auto scratch = pool_->Borrow();
  Found found = Collect(request, suspect, &*scratch, now);
  if (found == Found::kAllBusy && rules_.may_claim && ClaimOne(request, now)) {
    found = Collect(request, suspect, &*scratch, now);
  } else if (found == Found::kSome && rules_.may_claim && !suspect && !request.hedge) {
    ClaimNear(request, now);
  }
  if (found == Found::kNone) {
    return NotRun(absl::StatusCode::kUnavailable, "no upstream in service");
  }
  Admission& admission = entry_.runtime->limits().admission;
  if (found == Found::kAllBusy) return Full();
  if (!(rules_.from_queue ? admission.TryEnterFromQueue() : admission.TryEnter())) return Full();
  std::shared_ptr<UpstreamState> state = Choose(request, suspect, &*scratch, now);
  if (state == nullptr) {
    admission.Undo();
    return Full();
  }
  return UpstreamLease(LeaseTerms{std::move(state), now, request.fingerprint, suspect, false},
                       entry_.runtime);
}

Placement::Found Placement::Collect(const CallRequest& request, bool suspect, Scratch* scratch,
                                    Instant now) const {
  scratch->candidates.clear();
  scratch->uses.clear();
  bool any = false;
  for (const ServiceEntry::Use& use : entry_.in_use) {
    const UpstreamState& state = *use.state;
    if (state.leaving()) continue;
    if (!request.excluded.empty() && request.excluded.count(state.record().id) != 0) continue;
    any = true;
    const std::uint32_t limit = LimitOf(state, now);
    if (!suspect && state.in_flight() >= limit) continue;
    if (request.hedge && state.in_flight() >= state.owned_slots()) continue;
    scratch->candidates.push_back(View(use, limit, now));
    scratch->uses.push_back(&use);
  }
  if (suspect && any) KeepAssigned(request, scratch, now);
  if (!any) return Found::kNone;
  return scratch->candidates.empty() ? Found::kAllBusy : Found::kSome;
}

// A suspect runs at one certain upstream, which all instances choose alike. Open upstreams first:
// a cold one may be another instance's to use.
void Placement::KeepAssigned(const CallRequest& request, Scratch* scratch, Instant now) const {
  std::vector<UpstreamId> open;
  std::vector<UpstreamId> all;
  for (const ServiceEntry::Use* use : scratch->uses) {
    all.push_back(use->state->record().id);
    if (use->state->window().open()) open.push_back(all.back());
  }
  const UpstreamId id = shared_->guard->Assign(request.fingerprint, open.empty() ? all : open, now);
  const auto place = std::find(all.begin(), all.end(), id) - all.begin();
  const ServiceEntry::Use* use = scratch->uses[static_cast<std::size_t>(place)];
  const Candidate candidate = scratch->candidates[static_cast<std::size_t>(place)];
  scratch->uses.clear();
  scratch->candidates.clear();
  if (candidate.local_in_flight >= LimitOf(*use->state, now)) return;
  scratch->uses.push_back(use);
  scratch->candidates.push_back(candidate);
}

std::uint32_t Placement::LimitOf(const UpstreamState& state, Instant now) const {
  if (!state.window().settled(now)) return 0;
  const std::uint32_t limit = state.window().limit();
  return rules_.cautious ? std::min(limit, 1U) : limit;
}

Candidate Placement::View(const ServiceEntry::Use& use, std::uint32_t limit, Instant now) const {
  const UpstreamState& state = *use.state;
  Candidate candidate;
  candidate.index = use.index;
  candidate.slots = std::max(limit, 1U);
  candidate.owned_slots = std::min(state.owned_slots(), limit);
  candidate.local_in_flight = state.in_flight();
  candidate.latency = state.latency();
  candidate.latency_age = now - state.latency_changed();
  candidate.since_refusal = state.since_refusal(now);
  candidate.distance = use.distance;
  if (const auto report = state.report()) {
    candidate.has_report = true;
    candidate.reported_in_flight = report->in_flight;
    candidate.report_age = std::max(now - report->written, Duration::zero());
    candidate.sent_since_report = state.sent() - report->sent;
    candidate.ended_since_report = state.ended() - report->ended;
  }
  return candidate;
}

std::shared_ptr<UpstreamState> Placement::Choose(const CallRequest& request, bool suspect,
                                                 Scratch* scratch, Instant now) {
  ChoicePolicy& policy = pool_->PolicyOf(scratch, entry_.runtime->number());
  auto& candidates = scratch->candidates;
  auto& uses = scratch->uses;
  while (!candidates.empty()) {
    const std::size_t choice = policy.Choose(candidates, &scratch->random, now);
    const ServiceEntry::Use& use = *uses[choice];
    if (Start(request, suspect, use, now)) return use.state;
    // Another thread took the last place there.
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(choice));
    uses.erase(uses.begin() + static_cast<std::ptrdiff_t>(choice));
  }
  return nullptr;
}

bool Placement::Start(const CallRequest& request, bool suspect, const ServiceEntry::Use& use,
                      Instant now) {
  UpstreamState& state = *use.state;
  if (!state.TryStart(LimitOf(state, now), now)) return false;
  if (!suspect || shared_->guard->TryStart(request.fingerprint, state.record().id)) return true;
  state.Undo();
  return false;
}

bool Placement::Silent(const CallRequest& request, const UpstreamState& state, Instant now) const {
  if (state.leaving() || state.window().limit() > 0 ||
      request.excluded.count(state.record().id) != 0) {
    return false;
  }
  const auto report = state.report();
  // Calls in flight by a report newer than the silence show that an owner sends. A report of an
  // idle upstream does not: the owner's probes bring such reports although it has no callers.
  const bool fresh = report && now - report->written < WarmUpWindow::kSilence;
  return !fresh || report->in_flight == 0;
}

bool Placement::Claim(UpstreamState* state, Duration settle, Instant now) {
  if (!state->window().Claim(now, settle)) return false;
  shared_->Send(*state, now);
  entry_.runtime->Refresh();
  return true;
}

// Claims one window if this instance may send nowhere: waiting for a lease's end would not help.
bool Placement::ClaimOne(const CallRequest& request, Instant now) {
  for (const ServiceEntry::Use& use : entry_.in_use) {
    const UpstreamState& state = *use.state;
    if (!state.leaving() && request.excluded.count(state.record().id) == 0 &&
        state.window().limit() > 0) {
      return false;
    }
  }
  return std::any_of(entry_.in_use.begin(), entry_.in_use.end(), [&](const ServiceEntry::Use& use) {
    return Silent(request, *use.state, now) && Claim(use.state.get(), Duration::zero(), now);
  });
}

// Claims the window of an upstream of the own data centre whose owner is elsewhere and has no need
// of it: calls of a data centre that returned went to the others for as long as those had room. The
// call goes elsewhere meanwhile, so that there is time for the owner's last call to be heard of.
void Placement::ClaimNear(const CallRequest& request, Instant now) {
  (void)std::any_of(entry_.in_use.begin(), entry_.in_use.end(), [&](const ServiceEntry::Use& use) {
    return use.distance == Duration::zero() && Silent(request, *use.state, now) &&
           Claim(use.state.get(), WarmUpWindow::kClaimSettle, now);
  });
}

}  // namespace detail
}  // namespace primroseweir
