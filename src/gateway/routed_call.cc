#include "primroseweir/gateway/routed_call.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "primroseweir/balance/balanced_upstream.h"
#include "primroseweir/balance/windowed_retry_budget.h"
#include "primroseweir/base/line_log.h"
#include "primroseweir/base/rendezvous.h"
#include "primroseweir/gateway/call_header_names.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/gateway/load_field.h"
#include "primroseweir/gateway/serving_state.h"
#include "primroseweir/gateway/upstream_attempt.h"
#include "primroseweir/http/message_writer.h"
#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_client_stream.h"
#include "primroseweir/loop/http_server_exchange.h"
#include "primroseweir/routes/route_table.h"
#include "primroseweir/routes/weighted_service_picker.h"

namespace primroseweir {
namespace {

constexpr double kPercent = 100;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
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

RoutedCall::RoutedCall(Gateway* gateway, HttpServerExchange* caller, RequestHead head,
                       std::string body, Instant now)
    : gateway_(gateway),
      caller_(caller),
      head_(std::move(head)),
      body_(std::move(body), !caller->is_receiving_body()),
      received_at_(now),
      request_id_(head_.fields.Get(gateway->fields().request_id)),
      deadline_(now + kDefaultDeadline),
      deadline_timer_(gateway->loop(), [this] { OnDeadline(); }),
      wait_timer_(gateway->loop(), [this] { OnWaitTimeout(); }),
      probe_timer_(gateway->loop(),
                   [this] { PlaceOrEnqueue(RetryPolicy::Step::kRefuse, EventLoop::Now()); }),
      hedge_timer_(gateway->loop(), [this] { StartHedge(); }) {}

RoutedCall::~RoutedCall() = default;

void RoutedCall::Stop() {
  is_probing_ = false;
  RefundUnsent();
  LeaveQueue();
  deadline_timer_.Cancel();
  wait_timer_.Cancel();
  probe_timer_.Cancel();
  hedge_timer_.Cancel();
  attempts_.clear();
  is_stopped_ = true;
  // The gateway keeps the call for a moment, and the body is no longer charged to the caller.
  body_ = CallBody(std::string(), true);
}

// ---- route ----

void RoutedCall::Start(Instant now) {
  if (!FindRoute(now) || !IdentifyCaller(now)) {
    return;
  }
  SetDeadline(now);
  if (!gateway_->is_admitting()) {
    retry_may_succeed_at_once_ = true;
    Refuse("stopping", now);
    return;
  }
  fingerprint_ = StableHash(head_.method + " " + head_.target + "\n" +
                            body_.buffered().substr(0, CallBody::kMaxFingerprintedBytes));
  if (gateway_->crash_guard().Check(fingerprint_, now) ==
      CrashGuard::Classification::kQuarantined) {
    Refuse("crashes_upstreams", now);
    return;
  }
  // A call above the quota needs no room, so that it does not count as an arrival.
  if (!AcquireQuota(now)) {
    return;
  }
  if (IsRefusedForUrgentCalls(now)) {
    gateway_->metrics().CountEvent("less_urgent_refused");
    Refuse("less_urgent", now);
    return;
  }
  PlaceOrEnqueue(RetryPolicy::Step::kRefuse, now);
}

bool RoutedCall::FindRoute(Instant now) {
  routes_ = gateway_->state().routes;
  if (routes_ == nullptr) {
    Refuse("no_configuration", now);
    return false;
  }
  route_ = routes_->Find(head_.fields.Get("Host"), head_.target);
  if (route_ == nullptr) {
    SendLocalReply(kNotFound, "refused", "no_route", std::nullopt, now);
    return false;
  }
  service_ = gateway_->service_picker().Next(*route_);
  return true;
}

bool RoutedCall::IdentifyCaller(Instant now) {
  identity_ = CallerIdentity::Of(head_, *route_, *routes_, gateway_->fields());
  identity_routes_ = routes_;
  if (!identity_.is_allowed()) {
    SendLocalReply(kUnauthorized, "refused", "unknown_key", std::nullopt, now);
    return false;
  }
  return true;
}

bool RoutedCall::IsStillAllowed() {
  const auto& routes = gateway_->state().routes;
  if (routes == identity_routes_) {
    return true;
  }
  if (routes->customers() == nullptr) {
    // The identity is kept, so that a key that the caller sent is still removed.
    identity_routes_ = routes;
    return true;
  }
  // A call whose route was removed while it waited is decided by its old route.
  const auto* route = routes->Find(head_.fields.Get("Host"), head_.target);
  auto identity =
      CallerIdentity::Of(head_, route == nullptr ? *route_ : *route, *routes, gateway_->fields());
  if (!identity.is_allowed()) {
    return false;
  }
  identity_ = std::move(identity);
  identity_routes_ = routes;
  return true;
}

void RoutedCall::RejectWithdrawnKey(Instant now) {
  if (MayHaveExecuted()) {
    Fail(kBadGateway, "key_withdrawn", now);
  } else {
    SendLocalReply(kUnauthorized, "refused", "key_withdrawn", std::nullopt, now);
  }
}

void RoutedCall::CheckWhileWaiting(Instant now) {
  // The request is still here while the connection to its upstream opens.
  const bool has_sent = std::any_of(attempts_.begin(), attempts_.end(),
                                    [](const auto& attempt) { return attempt->has_sent(); });
  const bool is_waiting =
      !is_stopped_ && !has_sent && (ticket_ || is_probing_ || !attempts_.empty());
  if (is_waiting && !IsStillAllowed()) {
    RejectWithdrawnKey(now);
  }
}

bool RoutedCall::AcquireQuota(Instant now) {
  const auto& customer = identity_.customer();
  if (!customer || !customer->has_quota()) {
    return true;
  }
  const auto decision = gateway_->TryAcquireQuota(*customer, fingerprint_, now);
  if (decision.admitted) {
    charged_customer_ = customer;
  } else {
    SendLocalReply(kTooManyRequests, "refused", "over_quota", decision.retry_after, now);
  }
  return decision.admitted;
}

void RoutedCall::RefundUnsent() {
  if (charged_customer_ && !MayHaveExecuted()) {
    gateway_->RefundQuota(*charged_customer_, EventLoop::Now());
  }
  charged_customer_.reset();
}

void RoutedCall::SetDeadline(Instant now) {
  Duration time_left = kDefaultDeadline;
  if (const auto deadline_field = head_.fields.Find(gateway_->fields().deadline)) {
    const std::int64_t milliseconds = std::atoll(std::string(*deadline_field).c_str());
    time_left = std::chrono::milliseconds(
        std::clamp<std::int64_t>(milliseconds, 0, ToMilliseconds(kMaxDeadline)));
  }
  if (route_->timeout > Duration::zero()) {
    time_left = std::min(time_left, route_->timeout);
  }
  deadline_ = now + time_left;
  deadline_timer_.Start(time_left);
}

// ---- outcomes of attempts ----

void RoutedCall::OnAttemptSent(Instant now) {
  if (attempts_sent_++ == 0) {
    gateway_->retry_budget(service_).RecordFirstAttempt(MakeClaim().customer, now);
  }
  SendBody();
}

void RoutedCall::OnAttemptOverdue(const UpstreamAttempt& attempt, Instant now) {
  const auto& upstream = attempt.upstream();
  gateway_->log().WriteCall(
      "attempt_overdue",
      {{"request", request_id_},
       {"service", service_.value()},
       {"upstream", upstream.record().id.value()},
       {"slowness_percent", std::to_string(static_cast<int>(upstream.slowness(now) * kPercent))},
       {"stray_bytes", std::to_string(attempt.stream()->stray_bytes())},
       {"took_ms", std::to_string(ToMilliseconds(now - attempt.started_at()))}},
      now);
}

void RoutedCall::OnAttemptWriteDrained() { SendBody(); }

bool RoutedCall::MayHaveExecuted() const {
  return may_have_executed_ || std::any_of(attempts_.begin(), attempts_.end(),
                                           [](const auto& attempt) { return attempt->has_sent(); });
}

RetryPolicy::State RoutedCall::RetryState() const {
  RetryPolicy::State state;
  state.kind = route_->kind;
  state.attempts = attempts_sent_;
  state.max_attempts = route_->max_attempts;
  state.may_have_executed = may_have_executed_;
  return state;
}

void RoutedCall::OnAttemptResponse(UpstreamAttempt* attempt, ResponseHead* head,
                                   const std::string& piece, bool is_complete) {
  const auto now = EventLoop::Now();
  const auto& fields = gateway_->fields();
  auto& upstream = attempt->upstream();
  if (is_streaming_response_) {
    Deliver(attempt, head, piece, is_complete, now);
    return;
  }
  if (const auto load = ParseLoadField(head->fields.Get(fields.load))) {
    upstream.RecordReport(*load, BalancedUpstream::ReportSource::kResponse, now);
  }
  gateway_->log().WriteCall(
      "attempt_answered",
      {{"request", request_id_},
       {"service", service_.value()},
       {"upstream", upstream.record().id.value()},
       {"status", std::to_string(head->status)},
       {"occupancy", std::to_string(static_cast<int>(attempt->occupancy()))},
       {"slowness_percent", std::to_string(static_cast<int>(attempt->slowness() * kPercent))},
       {"load", head->fields.Get(fields.load)},
       {"framing", NameOf(head->body.kind)},
       {"took_ms", std::to_string(ToMilliseconds(now - attempt->started_at()))}},
      now);
  using AttemptEnd = RetryPolicy::AttemptEnd;
  if (head->status == kMisdirected && IsFromOtherUpstream(*attempt, *head)) {
    upstream.SetMisdirected();
    gateway_->pool().CloseIdle(upstream.record().id);
    gateway_->log().WriteCall(
        "upstream_misdirected",
        {{"request", request_id_}, {"upstream", upstream.record().id.value()}}, now);
    FinishAttempt(attempt, AttemptEnd::kNotExecuted, UpstreamOutcome::kRefused, nullptr, now);
    return;
  }
  if (head->status != kMisdirected) {
    gateway_->RecordStatements(&upstream, *head, now);
  }
  if (head->status != kMisdirected && head->fields.Find(fields.not_executed).has_value()) {
    // A full upstream says nothing about the others, but room is likely to be scarce.
    retry_may_succeed_at_once_ = upstream.has_reported_room();
    FinishAttempt(attempt, AttemptEnd::kNotExecuted, UpstreamOutcome::kRefused, nullptr, now);
  } else if (head->status >= kFirstServerError || RetryPolicy::IsNotExecutedStatus(head->status)) {
    const FailureResponse failure{head, piece, is_complete};
    FinishAttempt(attempt, AttemptEnd::kFailed, UpstreamOutcome::kFailed, &failure, now);
  } else if (IsSuccess(head->status) && !head->fields.Find(fields.signature).has_value()) {
    FinishAttempt(attempt, AttemptEnd::kNoResponse, UpstreamOutcome::kFailed, nullptr, now);
  } else {
    Deliver(attempt, head, piece, is_complete, now);
  }
}

bool RoutedCall::IsFromOtherUpstream(const UpstreamAttempt& attempt,
                                     const ResponseHead& head) const {
  const auto& fields = gateway_->fields();
  if (head.fields.Find(fields.request_id).has_value()) {
    return true;
  }
  const auto responder = head.fields.Get(fields.upstream_id);
  return !responder.empty() && responder != attempt.upstream().record().id.value();
}

void RoutedCall::OnAttemptFailure(UpstreamAttempt* attempt, HttpClientCallbacks::Failure failure) {
  const auto now = EventLoop::Now();
  auto& upstream = attempt->upstream();
  const bool has_sent = attempt->has_sent();
  gateway_->log().WriteCall(
      "attempt_lost",
      {{"request", request_id_},
       {"service", service_.value()},
       {"upstream", upstream.record().id.value()},
       {"reason", HttpClientCallbacks::NameOf(failure)},
       {"sent", has_sent ? "yes" : "no"},
       {"stray_bytes", std::to_string(attempt->stream()->stray_bytes())},
       {"took_ms", std::to_string(ToMilliseconds(now - attempt->started_at()))}},
      now);
  if (is_streaming_response_) {
    attempt->Finish(UpstreamOutcome::kConnectionLost, now);
    AbortResponse(HttpClientCallbacks::NameOf(failure), now);
    return;
  }
  using Failure = HttpClientCallbacks::Failure;
  const bool has_responded = failure == Failure::kMalformed || failure == Failure::kUnidentified;
  if (has_sent && !has_responded) {
    gateway_->RecordSuspectedCrash(upstream.record().id, fingerprint_, now);
  }
  const auto outcome =
      has_sent ? RetryPolicy::AttemptEnd::kNoResponse : RetryPolicy::AttemptEnd::kNotExecuted;
  FinishAttempt(attempt, outcome, UpstreamOutcome::kConnectionLost, nullptr, now);
}

void RoutedCall::FinishAttempt(UpstreamAttempt* attempt, RetryPolicy::AttemptEnd outcome,
                               UpstreamOutcome upstream_outcome, const FailureResponse* failure,
                               Instant now) {
  const auto failure_head = failure == nullptr ? ResponseHead() : *failure->head;
  attempt->Finish(upstream_outcome, now);
  auto ended_attempt = TakeAttempt(attempt);
  const bool is_failure_incomplete = failure != nullptr && !failure->is_complete;
  if (!is_failure_incomplete) {
    // A retry may use its connection.
    ended_attempt.reset();
  }
  if (!attempts_.empty()) {
    // The other attempt of a hedged call is still in progress.
    may_have_executed_ = may_have_executed_ || outcome != RetryPolicy::AttemptEnd::kNotExecuted;
    return;
  }
  const bool should_retry =
      MayResend() && RetryPolicy::NextStep(outcome, RetryState()) == RetryPolicy::Step::kRetry;
  const auto step_without_retry = RetryPolicy::StepWithoutRetry(outcome, RetryState());
  may_have_executed_ = may_have_executed_ || outcome != RetryPolicy::AttemptEnd::kNotExecuted;
  if (should_retry && step_without_retry != RetryPolicy::Step::kForwardFailure) {
    PlaceOrEnqueue(step_without_retry, now);
  } else if (!should_retry || TryStart(PickScope::kInTime, now) != PlacementResult::kStarted) {
    if (is_failure_incomplete && !RetryPolicy::IsNotExecutedStatus(failure_head.status)) {
      // The rest of the failure's body is still to come.
      attempts_.push_back(std::move(ended_attempt));
      Deliver(attempt, failure->head, failure->piece, false, now);
    } else {
      RespondWithoutRetry(step_without_retry, failure_head,
                          failure == nullptr ? std::string() : failure->piece, now);
    }
  }
  // Closes the connection if the rest of a failure is not forwarded.
  ended_attempt.reset();
  gateway_->StartWaitingCalls(service_, now);
}

void RoutedCall::RespondWithoutRetry(RetryPolicy::Step step, const ResponseHead& failure,
                                     const std::string& body, Instant now) {
  if (step == RetryPolicy::Step::kRefuse) {
    RefuseUnplaced("upstreams_refused", now);
  } else if (step == RetryPolicy::Step::kFail) {
    Fail(kBadGateway, "upstream_lost", now);
  } else if (RetryPolicy::IsNotExecutedStatus(failure.status)) {
    // Without the not_executed field, the status does not prove that the call was not executed.
    Fail(kBadGateway, "unproven_refusal", now);
  } else {
    ForwardResponse(failure, body, now);
  }
}

std::unique_ptr<UpstreamAttempt> RoutedCall::TakeAttempt(UpstreamAttempt* attempt) {
  const auto found = std::find_if(attempts_.begin(), attempts_.end(),
                                  [attempt](const auto& owned) { return owned.get() == attempt; });
  if (found == attempts_.end()) {
    return nullptr;
  }
  auto taken = std::move(*found);
  attempts_.erase(found);
  return taken;
}

void RoutedCall::Deliver(UpstreamAttempt* attempt, ResponseHead* head, const std::string& piece,
                         bool is_complete, Instant now) {
  if (is_complete && !is_streaming_response_) {
    attempt->Finish(UpstreamOutcome::kResponded, now);
    gateway_->crash_guard().RecordSuccess(fingerprint_, attempt->upstream().record().id, now);
    gateway_->CountResponse(*route_, now - received_at_);
    ForwardResponse(std::move(*head), piece, now);
    return;
  }
  if (!std::exchange(is_streaming_response_, true)) {
    stream_deadline_ = now + gateway_->max_stream_duration();
    hedge_timer_.Cancel();
    // The other attempt of a hedged call is no longer needed.
    attempts_.erase(std::remove_if(attempts_.begin(), attempts_.end(),
                                   [attempt](const auto& owned) { return owned.get() != attempt; }),
                    attempts_.end());
    ResponseHead forwarded_head = *head;
    RemoveHopByHopFields(&forwarded_head.fields);
    caller_->BeginResponse(std::move(forwarded_head));
  }
  // The caller's deadline applies to the start of a large response. Once it has started, only its
  // pauses and its total duration are limited.
  deadline_timer_.Start(std::min<Duration>(kStreamIdleTimeout, stream_deadline_ - now));
  caller_->WritePiece(piece);
  gateway_->CountResponseBytes(piece.size());
  stream_unacked_bytes_ = caller_->unacked_bytes();
  if (!is_complete) {
    if (caller_->pending_bytes() >
        (gateway_->IsShortOfMemory() ? kResponseHighWaterMarkIfShort : kResponseHighWaterMark)) {
      attempt->stream()->PauseReading();
    }
    return;
  }
  attempt->Finish(UpstreamOutcome::kResponded, now);
  LogCompletion(head->status, "answered", "streamed", now);
  gateway_->CountResponse(*route_, now - received_at_);
  auto* caller = caller_;
  gateway_->Release(this);
  caller->EndResponse();
}

}  // namespace primroseweir
