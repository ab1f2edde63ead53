#include "primroseweir/gateway/routed_call.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "primroseweir/balance/balanced_upstream.h"
#include "primroseweir/balance/retry_ledger.h"
#include "primroseweir/base/line_log.h"
#include "primroseweir/base/rendezvous.h"
#include "primroseweir/gateway/call_fields.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/load_field.h"
#include "primroseweir/gateway/serving_state.h"
#include "primroseweir/gateway/upstream_attempt.h"
#include "primroseweir/gateway/upstream_prober.h"
#include "primroseweir/http/message_writer.h"
#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_client_stream.h"
#include "primroseweir/loop/http_server_stream.h"
#include "primroseweir/routes/route_table.h"
#include "primroseweir/routes/split_chooser.h"

namespace primroseweir {
namespace {

constexpr double kPercent = 100;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kFirstServerError = 500;
constexpr int kBadGateway = 502;

bool IsSuccess(int status) { return status >= 200 && status < 300; }

const char* NameOf(BodyKind kind) {
  switch (kind) {
    case BodyKind::kNone:
      return "none";
    case BodyKind::kLength:
      return "length";
    case BodyKind::kChunked:
      return "chunked";
    case BodyKind::kUntilClose:
      return "until_close";
  }
  return "unknown";
}

}  // namespace

RoutedCall::RoutedCall(Gateway* gateway, HttpServerStream* caller, RequestHead head,
                       std::string body, Instant now)
    : gateway_(gateway),
      caller_(caller),
      head_(std::move(head)),
      body_(std::move(body), !caller->receiving()),
      arrived_(now),
      id_(head_.fields.Get(gateway->fields().request_id)),
      deadline_(now + kDefaultDeadline),
      deadline_timer_(gateway->loop(), [this] { OnDeadline(); }),
      wait_timer_(gateway->loop(), [this] { OnWaitEnd(); }),
      probe_timer_(gateway->loop(), [this] { Place(CallPolicy::Step::kRefuse, EventLoop::Now()); }),
      hedge_timer_(gateway->loop(), [this] { StartHedge(); }) {}

RoutedCall::~RoutedCall() = default;

void RoutedCall::Stop() {
  probing_ = false;
  LeaveQueue();
  deadline_timer_.Cancel();
  wait_timer_.Cancel();
  probe_timer_.Cancel();
  hedge_timer_.Cancel();
  attempts_.clear();
}

// ---- route ----

void RoutedCall::Start(Instant now) {
  if (!FindRoute(now)) {
    return;
  }
  SetDeadline(now);
  if (!gateway_->taking()) {
    elsewhere_has_room_ = true;
    Refuse("stopping", now);
    return;
  }
  fingerprint_ = StableHash(head_.method + " " + head_.target + "\n" +
                            body_.held().substr(0, CallBody::kIdentifying));
  if (gateway_->crash_guard().Check(fingerprint_, now) == CrashGuard::Verdict::kQuarantined) {
    Refuse("crashes_upstreams", now);
    return;
  }
  Place(CallPolicy::Step::kRefuse, now);
}

bool RoutedCall::FindRoute(Instant now) {
  routes_ = gateway_->state().routes;
  if (routes_ == nullptr) {
    Refuse("no_configuration", now);
    return false;
  }
  route_ = routes_->Find(head_.fields.Get("Host"), head_.target);
  if (route_ == nullptr) {
    AnswerOwn(kNotFound, "refused", "no_route", std::nullopt, now);
    return false;
  }
  service_ = gateway_->splits().Next(*route_);
  return true;
}

void RoutedCall::SetDeadline(Instant now) {
  Duration left = kDefaultDeadline;
  if (const auto* stated = head_.fields.Find(gateway_->fields().deadline)) {
    const std::int64_t milliseconds = std::atoll(stated->c_str());
    left = std::chrono::milliseconds(
        std::clamp<std::int64_t>(milliseconds, 0, ToMilliseconds(kLongestDeadline)));
  }
  if (route_->timeout > Duration::zero()) {
    left = std::min(left, route_->timeout);
  }
  deadline_ = now + left;
  deadline_timer_.Start(left);
}

// ---- placement ----

Duration RoutedCall::Acceptable(Instant now) const {
  // A call that is late already still deserves an upstream of usual speed.
  const auto least = gateway_->book().Usual(service_) * 2;
  return std::max<Duration>(route_->objective - (now - arrived_), least);
}

RoutedCall::Placement RoutedCall::PlacementOf(UpstreamBook::Obstacle obstacle) {
  switch (obstacle) {
    case UpstreamBook::Obstacle::kFull:
      return Placement::kNoRoom;
    case UpstreamBook::Obstacle::kOnlySlow:
      return Placement::kOnlySlow;
    default:
      return Placement::kNoUpstream;
  }
}

RoutedCall::Placement RoutedCall::TryStart(Effort effort, Instant now) {
  UpstreamBook::Query query;
  query.service = service_;
  query.kind = route_->kind;
  query.excluded = tried_;
  query.near_only = MovesMuch(route_->kind) && effort <= Effort::kUsual;
  query.acceptable = effort == Effort::kAnySpeed ? Duration::max() : Acceptable(now);
  query.may_probe = effort == Effort::kProbe;
  auto choice = gateway_->book().Choose(query, now);
  if (query.may_probe && !choice.unsure.empty()) {
    for (const auto& upstream : choice.unsure) {
      probing_ = gateway_->prober().Check(upstream, now) || probing_;
    }
    if (probing_) {
      probe_end_ = probe_end_ == Instant() ? now + kProbeWait : probe_end_;
      probe_timer_.Start(std::max(Duration::zero(), probe_end_ - now));
      return Placement::kProbing;
    }
  }
  if (choice.upstream == nullptr) {
    return PlacementOf(choice.obstacle);
  }
  if (sends_ > 0 && !gateway_->ledger(service_).TrySpend(gateway_->book().fleet_size(), now)) {
    return Placement::kNoBudget;
  }
  StartAttempt(std::move(choice.upstream), now);
  return Placement::kStarted;
}

void RoutedCall::OnReport(Instant now) {
  // The probes of one call come back together: a fresh one may still show a slow upstream, and then
  // the next best is asked until the time for probes is over.
  probing_ = false;
  const auto placement = TryStart(Effort::kProbe, now);
  if (placement == Placement::kStarted) {
    probe_timer_.Cancel();
  } else {
    probing_ = true;
  }
}

void RoutedCall::Place(CallPolicy::Step without, Instant now) {
  const auto effort = sends_ == 0 && !probing_ ? Effort::kProbe : Effort::kUsual;
  const auto placement = tried_.size() < kMaxTried ? TryStart(effort, now) : Placement::kNoUpstream;
  probing_ = placement == Placement::kProbing;
  if (placement == Placement::kStarted || probing_) {
    return;
  }
  const bool may_wait = placement == Placement::kNoRoom || placement == Placement::kOnlySlow;
  if (may_wait) {
    // An upstream that shed the call had room, but the others have none.
    elsewhere_has_room_ = false;
  }
  if (may_wait && Wait(now)) {
    return;
  }
  if (may_wait && TryLast(now)) {
    return;
  }
  const char* reason = may_wait                              ? "no_room"
                       : placement == Placement::kNoUpstream ? "no_upstream"
                                                             : "no_retry_budget";
  if (without == CallPolicy::Step::kRefuse) {
    Refuse(reason, now);
  } else {
    Fail(kBadGateway, reason, now);
  }
}

// Queues the call when it is likely to find room in time.
bool RoutedCall::Wait(Instant now) {
  auto& queue = gateway_->queue(service_);
  const auto usual = gateway_->book().Usual(service_);
  const auto longest =
      std::min(WaitQueue::LongestWait(route_->objective, usual), deadline_ - now - usual) -
      (now - arrived_);
  const auto expected = gateway_->book().ExpectedWait(service_, queue.Ahead(route_->priority), now);
  if (longest <= Duration::zero() || expected > longest) {
    return false;
  }
  ticket_ = queue.Add(route_->priority, [this](Instant time) {
    const auto placement = TryStart(Effort::kUsual, time);
    if (placement == Placement::kNoRoom || placement == Placement::kOnlySlow) {
      return false;
    }
    ticket_.reset();
    wait_timer_.Cancel();
    if (placement != Placement::kStarted) {
      may_have_run_ ? Fail(kBadGateway, "no_retry", time) : Refuse("no_upstream", time);
    }
    return true;
  });
  wait_timer_.Start(longest);
  gateway_->SeekRoom(service_, now);
  return true;
}

void RoutedCall::OnWaitEnd() {
  const auto now = EventLoop::Now();
  LeaveQueue();
  if (TryLast(now)) {
    return;
  }
  may_have_run_ ? Fail(kBadGateway, "no_room_in_time", now) : Refuse("no_room_in_time", now);
}

bool RoutedCall::TryLast(Instant now) {
  auto placement = TryStart(Effort::kAnywhere, now);
  if (placement == Placement::kOnlySlow) {
    placement = TryStart(Effort::kAnySpeed, now);
  }
  return placement == Placement::kStarted;
}

void RoutedCall::LeaveQueue() {
  if (ticket_) {
    gateway_->queue(service_).Remove(*ticket_);
    ticket_.reset();
  }
}

void RoutedCall::StartAttempt(std::shared_ptr<BalancedUpstream> upstream, Instant now) {
  const bool at_most_once = !MayRepeat(route_->kind);
  tried_.push_back(upstream->record().id);
  UpstreamAttempt::Services services{gateway_->loop(), &gateway_->book(), &gateway_->pool()};
  attempts_.push_back(
      std::make_unique<UpstreamAttempt>(services, std::move(upstream), this, at_most_once, now));
  auto* attempt = attempts_.back().get();
  occupancy_ = attempt->occupancy();
  const auto& field = gateway_->fields().request_id;
  body_sent_ = body_.arrived();
  attempt->Send(UpstreamHead(*attempt, now), body_.held(), id_.empty() ? std::string() : field,
                id_);
  SendBody();
  if (!at_most_once && attempts_.size() == 1 && sends_ < route_->max_attempts) {
    hedge_timer_.Start(CallPolicy::HedgeAfter(route_->objective, gateway_->book().Usual(service_)));
  }
}

// A second attempt beside one that takes unusually long; the first whole answer wins. Calls that
// wait for their first attempt go first.
void RoutedCall::StartHedge() {
  if (attempts_.size() != 1 || streaming_ || sends_ >= route_->max_attempts) {
    return;
  }
  // A download that finds no second upstream in its data centre goes to another one.
  const auto effort = hedge_tries_++ == 0 ? Effort::kUsual : Effort::kAnywhere;
  const bool room = sends_ > 0 && gateway_->queue(service_).empty() &&
                    TryStart(effort, EventLoop::Now()) == Placement::kStarted;
  if (!room) {
    hedge_timer_.Start(kHedgeRetry);
  }
}

RequestHead RoutedCall::UpstreamHead(const UpstreamAttempt& attempt, Instant now) const {
  const auto& fields = gateway_->fields();
  RequestHead head = head_;
  RemoveConnectionFields(&head.fields);
  const auto left = std::max<std::int64_t>(1, ToMilliseconds(deadline_ - now));
  head.fields.Set(fields.deadline, std::to_string(left));
  head.fields.Set(fields.expected_upstream, attempt.upstream().record().id.value());
  head.keep_alive = true;
  head.minor_version = 1;
  if (body_.whole() && head_.body.kind != BodyKind::kNone) {
    head.body = {BodyKind::kLength, body_.arrived()};
  }
  return head;
}

void RoutedCall::SendBody() {
  if (!caller_->receiving() && body_sent_ == body_.arrived()) {
    return;
  }
  auto* attempt = attempts_.empty() ? nullptr : attempts_.front().get();
  if (attempt != nullptr && body_sent_ < body_.arrived()) {
    attempt->SendPiece(body_.From(body_sent_), body_.whole());
    body_sent_ = body_.arrived();
  }
  const bool sent = attempt != nullptr && attempt->sent();
  if (sent && (body_.held().size() > kMaxReplay || gateway_->OverMemory())) {
    body_.DropBefore(body_sent_);
  }
  caller_->AccountHeld(body_.held().size());
  const auto unsent = attempt == nullptr ? body_.held().size() : attempt->pending();
  if (unsent > kMaxUnsent) {
    caller_->PauseBody();
  } else {
    caller_->ResumeBody();
  }
}

// ---- endings of attempts ----

void RoutedCall::OnAttemptSent(Instant now) {
  if (sends_++ == 0) {
    gateway_->ledger(service_).NoteFirst(now);
  }
  SendBody();
}

void RoutedCall::OnAttemptOverdue(const UpstreamAttempt& attempt, Instant now) {
  const auto& upstream = attempt.upstream();
  gateway_->log().WriteCall(
      "attempt_overdue",
      {{"request", id_},
       {"service", service_.value()},
       {"upstream", upstream.record().id.value()},
       {"slowness_percent", std::to_string(static_cast<int>(upstream.slowness(now) * kPercent))},
       {"took_ms", std::to_string(ToMilliseconds(now - attempt.started()))}},
      now);
}

void RoutedCall::OnAttemptTaken() { SendBody(); }

bool RoutedCall::MayHaveRun() const {
  return may_have_run_ || std::any_of(attempts_.begin(), attempts_.end(),
                                      [](const auto& attempt) { return attempt->sent(); });
}

CallPolicy::State RoutedCall::PolicyState() const {
  CallPolicy::State state;
  state.kind = route_->kind;
  state.sends = sends_;
  state.max_sends = route_->max_attempts;
  state.may_have_run = may_have_run_;
  return state;
}

void RoutedCall::OnAttemptAnswer(UpstreamAttempt* attempt, ResponseHead* head,
                                 const std::string& piece, bool whole) {
  const auto now = EventLoop::Now();
  const auto& fields = gateway_->fields();
  auto& upstream = attempt->upstream();
  if (streaming_) {
    Deliver(attempt, head, piece, whole, now);
    return;
  }
  if (const auto load = ParseLoad(head->fields.Get(fields.load))) {
    upstream.NoteReport(*load, BalancedUpstream::ReportSource::kAnswer, now);
  }
  gateway_->log().WriteCall(
      "attempt_answered",
      {{"request", id_},
       {"service", service_.value()},
       {"upstream", upstream.record().id.value()},
       {"status", std::to_string(head->status)},
       {"occupancy", std::to_string(static_cast<int>(attempt->occupancy()))},
       {"slowness_percent", std::to_string(static_cast<int>(attempt->slowness() * kPercent))},
       {"load", head->fields.Get(fields.load)},
       {"framing", NameOf(head->body.kind)},
       {"took_ms", std::to_string(ToMilliseconds(now - attempt->started()))}},
      now);
  using Ending = CallPolicy::Ending;
  if (head->status == kMisdirected) {
    upstream.SetMisdirected();
    gateway_->pool().Drop(upstream.record().id);
    gateway_->log().WriteCall("upstream_misdirected",
                              {{"request", id_}, {"upstream", upstream.record().id.value()}}, now);
    EndAttempt(attempt, Ending::kNotRun, AttemptResult::kRefused, nullptr, {}, now);
  } else if (head->fields.Find(fields.not_run) != nullptr) {
    // One that is full says nothing about the others, but there is little room.
    elsewhere_has_room_ = upstream.reports_room();
    EndAttempt(attempt, Ending::kNotRun, AttemptResult::kRefused, nullptr, {}, now);
  } else if (head->status >= kFirstServerError || CallPolicy::StatesNotRun(head->status)) {
    EndAttempt(attempt, Ending::kFailed, AttemptResult::kFailed, head, piece, now);
  } else if (IsSuccess(head->status) && head->fields.Find(fields.signature) == nullptr) {
    EndAttempt(attempt, Ending::kLost, AttemptResult::kFailed, nullptr, {}, now);
  } else {
    Deliver(attempt, head, piece, whole, now);
  }
}

void RoutedCall::OnAttemptFailure(UpstreamAttempt* attempt, HttpClientListener::Failure failure) {
  const auto now = EventLoop::Now();
  auto& upstream = attempt->upstream();
  const bool sent = attempt->sent();
  gateway_->log().WriteCall("attempt_lost",
                            {{"request", id_},
                             {"service", service_.value()},
                             {"upstream", upstream.record().id.value()},
                             {"reason", HttpClientListener::NameOf(failure)},
                             {"sent", sent ? "yes" : "no"},
                             {"took_ms", std::to_string(ToMilliseconds(now - attempt->started()))}},
                            now);
  if (streaming_) {
    attempt->Finish(AttemptResult::kLost, now);
    Cut(HttpClientListener::NameOf(failure), now);
    return;
  }
  if (sent && failure != HttpClientListener::Failure::kMalformed) {
    gateway_->SuspectCrash(upstream.record().id, fingerprint_, now);
  }
  const auto ending = sent ? CallPolicy::Ending::kLost : CallPolicy::Ending::kNotRun;
  EndAttempt(attempt, ending, AttemptResult::kLost, nullptr, {}, now);
}

void RoutedCall::EndAttempt(UpstreamAttempt* attempt, CallPolicy::Ending ending,
                            AttemptResult result, const ResponseHead* failure,
                            const std::string& body, Instant now) {
  const auto passed = failure == nullptr ? ResponseHead() : *failure;
  attempt->Finish(result, now);
  RemoveAttempt(attempt);
  if (!attempts_.empty()) {
    // The other attempt of a hedged call may still answer.
    may_have_run_ = may_have_run_ || ending != CallPolicy::Ending::kNotRun;
    return;
  }
  const bool again =
      MayResend() && CallPolicy::After(ending, PolicyState()) == CallPolicy::Step::kTryElsewhere;
  const auto without = CallPolicy::WithoutRetry(ending, PolicyState());
  may_have_run_ = may_have_run_ || ending != CallPolicy::Ending::kNotRun;
  if (again && without != CallPolicy::Step::kPass) {
    Place(without, now);
  } else if (!again || TryStart(Effort::kUsual, now) != Placement::kStarted) {
    AnswerWithout(without, passed, body, now);
  }
  gateway_->OfferRoom(service_, now);
}

void RoutedCall::AnswerWithout(CallPolicy::Step step, const ResponseHead& failure,
                               const std::string& body, Instant now) {
  if (step == CallPolicy::Step::kRefuse) {
    Refuse("upstreams_refused", now);
  } else if (step == CallPolicy::Step::kFail) {
    Fail(kBadGateway, "upstream_lost", now);
  } else if (CallPolicy::StatesNotRun(failure.status)) {
    // Without the explicit field the status does not prove that the call did not run.
    Fail(kBadGateway, "unproven_refusal", now);
  } else {
    Pass(failure, body, now);
  }
}

void RoutedCall::RemoveAttempt(UpstreamAttempt* attempt) {
  attempts_.erase(std::remove_if(attempts_.begin(), attempts_.end(),
                                 [attempt](const auto& owned) { return owned.get() == attempt; }),
                  attempts_.end());
}

void RoutedCall::Deliver(UpstreamAttempt* attempt, ResponseHead* head, const std::string& piece,
                         bool whole, Instant now) {
  if (whole && !streaming_) {
    attempt->Finish(AttemptResult::kAnswered, now);
    gateway_->crash_guard().NoteSuccess(fingerprint_, attempt->upstream().record().id, now);
    gateway_->CountAnswer(*route_, now - arrived_);
    Pass(std::move(*head), piece, now);
    return;
  }
  if (!std::exchange(streaming_, true)) {
    stream_end_ = now + gateway_->longest_stream();
    hedge_timer_.Cancel();
    // The other attempt of a hedged call is no longer needed.
    attempts_.erase(std::remove_if(attempts_.begin(), attempts_.end(),
                                   [attempt](const auto& owned) { return owned.get() != attempt; }),
                    attempts_.end());
    ResponseHead passed = *head;
    RemoveConnectionFields(&passed.fields);
    caller_->BeginAnswer(std::move(passed));
  }
  // The caller's deadline is for the start of a large answer; from there on it has to make
  // progress.
  deadline_timer_.Start(std::min<Duration>(kStreamPause, stream_end_ - now));
  caller_->WritePiece(piece);
  gateway_->CountAnswerBytes(piece.size());
  if (!whole) {
    if (caller_->pending() > kMaxPending) {
      attempt->stream()->PauseReading();
    }
    return;
  }
  attempt->Finish(AttemptResult::kAnswered, now);
  LogEnd(head->status, "answered", "streamed", now);
  gateway_->CountAnswer(*route_, now - arrived_);
  auto* caller = caller_;
  gateway_->Release(this);
  caller->EndAnswer();
}

}  // namespace primroseweir
