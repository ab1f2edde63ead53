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
