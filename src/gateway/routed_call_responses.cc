// Events that end a call (caller, deadline, body errors), the final responses and the log entry.
#include <algorithm>
#include <cstdio>
#include <utility>

#include "primroseweir/balance/retry_policy.h"
#include "primroseweir/base/line_log.h"
#include "primroseweir/base/random.h"
#include "primroseweir/base/rendezvous.h"
#include "primroseweir/gateway/call_header_names.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/gateway/routed_call.h"
#include "primroseweir/gateway/serving_state.h"
#include "primroseweir/gateway/upstream_attempt.h"
#include "primroseweir/http/message_writer.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_client_stream.h"
#include "primroseweir/loop/http_server_exchange.h"
#include "primroseweir/routes/route_table.h"

namespace primroseweir {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

std::string FormatSeconds(Duration duration) {
  char buffer[32];
  const int length =
      std::snprintf(buffer, sizeof buffer, "%.3f", std::chrono::duration<double>(duration).count());
  return {buffer, static_cast<std::size_t>(length)};
}

}  // namespace

// ---- caller ----

void RoutedCall::OnCallerWritable() {
  if (is_streaming_response_ && !attempts_.empty()) {
    attempts_.front()->stream()->ResumeReading();
  }
}

void RoutedCall::OnCallerDisconnected(Instant now) {
  LogCompletion(0, "caller_gone", attempts_.empty() ? "waiting" : "at_upstream", now);
  gateway_->Release(this);
}

void RoutedCall::OnDeadline() {
  const auto now = EventLoop::Now();
  if (is_streaming_response_ && HasStreamProgress(now)) {
    deadline_timer_.Start(std::min<Duration>(kStreamIdleTimeout, stream_deadline_ - now));
    return;
  }
  if (is_streaming_response_) {
    AbortResponse("no_progress", now);
    return;
  }
  for (const auto& attempt : attempts_) {
    attempt->Finish(UpstreamOutcome::kTimedOut, now);
  }
  if (MayHaveExecuted()) {
    Fail(kGatewayTimeout, "deadline", now);
  } else {
    Refuse("deadline", now);
  }
}

bool RoutedCall::HasStreamProgress(Instant now) {
  const auto unacked_bytes = caller_->unacked_bytes();
  const bool has_caller_read = std::exchange(stream_unacked_bytes_, unacked_bytes) != unacked_bytes;
  const bool has_upstream_sent =
      !attempts_.empty() &&
      now - attempts_.front()->stream()->last_received_at() < kStreamIdleTimeout;
  // The caller can't read a response before its turn.
  return now < stream_deadline_ && (has_caller_read || has_upstream_sent || !caller_->has_turn());
}

// ---- streamed body ----

void RoutedCall::OnBodyPiece(const std::string& piece, bool last) {
  body_.Append(piece, last);
  SendBody();
}

void RoutedCall::OnBodyError(int status, Instant now) {
  if (is_streaming_response_) {
    AbortResponse("body_broken", now);
  } else if (MayHaveExecuted() && RetryPolicy::IsNotExecutedStatus(status)) {
    // Part of the call may have been executed, which `status` would deny.
    Fail(kGatewayTimeout, "body_broken", now);
  } else {
    SendLocalReply(status, "failed", "body_broken", std::nullopt, now);
  }
}

// ---- final responses ----

void RoutedCall::ForwardResponse(ResponseHead head, const std::string& body, Instant now) {
  RemoveHopByHopFields(&head.fields);
  LogCompletion(head.status, "answered", "passed", now);
  gateway_->CountResponseBytes(body.size());
  auto* caller = caller_;
  gateway_->Release(this);
  caller->Respond(std::move(head), body);
}

// Closes the caller's connection, since part of the response has already been sent and the error
// can't be reported otherwise.
void RoutedCall::AbortResponse(std::string_view reason, Instant now) {
  LogCompletion(0, "cut", reason, now);
  auto* caller = caller_;
  gateway_->Release(this);
  caller->Abort();
}

void RoutedCall::RefuseUnplaced(std::string_view reason, Instant now) {
  const auto pause_end = gateway_->balancer().EndOfPauses(service_, now);
  if (!pause_end) {
    Refuse(reason, now);
    return;
  }
  const auto retry_after =
      RetryPolicy::RetryAfterPause(*pause_end - now, gateway_->random().UniformUnit());
  SendLocalReply(kUnavailable, "refused", "upstreams_paused", retry_after, now);
}

void RoutedCall::Refuse(std::string_view reason, Instant now) {
  // A customer above its share takes no place before others.
  if (route_ != nullptr && !retry_may_succeed_at_once_ && !is_above_share_ &&
      gateway_->admission(service_).Shortage(now) > 0) {
    gateway_->metrics().CountEvent("return_scheduled");
    const auto latest =
        std::max(Duration::zero(), (deadline_ - now) / RetryPolicy::kRetryAfterDivisor);
    // Callers of the same page return at times of their own.
    const auto call =
        StableHash(std::to_string(fingerprint_) + " " + std::to_string(caller_->caller_address()));
    const auto retry_after = gateway_->return_schedule(service_).RetryAfter(
        call, priority(), latest, gateway_->random().UniformUnit(), now);
    SendLocalReply(kUnavailable, "refused", reason, retry_after, now);
    return;
  }
  const auto expected_wait =
      gateway_->balancer().ExpectedWait(service_, gateway_->queue(service_).size(), now);
  const auto refusal_reason = retry_may_succeed_at_once_
                                  ? RetryPolicy::RefusalReason::kRefusedByUpstream
                                  : RetryPolicy::RefusalReason::kNoRoom;
  const auto retry_after = RetryPolicy::RetryAfter(refusal_reason, expected_wait, deadline_ - now,
                                                   gateway_->random().UniformUnit());
  SendLocalReply(kUnavailable, "refused", reason, retry_after, now);
}

void RoutedCall::Fail(int status, std::string_view reason, Instant now) {
  SendLocalReply(status, "failed", reason, std::nullopt, now);
}

void RoutedCall::SendLocalReply(int status, std::string_view outcome, std::string_view reason,
                                std::optional<Duration> retry_after, Instant now) {
  ResponseHead head;
  head.status = status;
  if (!request_id_.empty()) {
    head.fields.Add(gateway_->fields().request_id, request_id_);
  }
  if (retry_after) {
    head.fields.Add("Retry-After", FormatSeconds(*retry_after));
  }
  if (status == kUnauthorized) {
    head.fields.Add("WWW-Authenticate", gateway_->fields().key_scheme);
  }
  head.fields.Add("Content-Type", "text/plain");
  LogCompletion(status, outcome, reason, now);
  gateway_->CountLocalReply(status);
  if (status == kUnavailable && route_ != nullptr && identity_.customer()) {
    gateway_->metrics().CountCustomerRefusal(identity_.customer()->name.value(),
                                             std::string(reason));
    gateway_->log().WriteCall("customer_refused",
                              {{"request", request_id_},
                               {"customer", identity_.customer()->name.value()},
                               {"priority", std::to_string(priority())},
                               {"service", service_.value()},
                               {"reason", reason},
                               {"sends", std::to_string(attempts_sent_)}},
                              now);
  }
  auto* caller = caller_;
  const std::string body(reason);
  gateway_->Release(this);
  caller->Respond(std::move(head), body + "\n");
}

void RoutedCall::LogCompletion(int status, std::string_view outcome, std::string_view reason,
                               Instant now) const {
  std::string tried_ids;
  for (const auto& upstream : tried_upstreams_) {
    tried_ids += (tried_ids.empty() ? "" : ",") + upstream.value();
  }
  const auto& state = gateway_->state();
  std::string_view customer;
  if (identity_.customer()) {
    customer = identity_.customer()->name.value();
    gateway_->CountCustomerCall(identity_.customer()->name, outcome);
  }
  gateway_->log().WriteCall(
      "call_ended",
      {{"request", request_id_},
       {"outcome", outcome},
       {"reason", reason},
       {"status", std::to_string(status)},
       {"prefix", route_ == nullptr ? std::string_view() : std::string_view(route_->prefix)},
       {customer.empty() ? "" : "customer", customer},
       {"service", service_.value()},
       {"upstreams", tried_ids},
       {"sends", std::to_string(attempts_sent_)},
       {"occupancy", std::to_string(static_cast<int>(occupancy_))},
       {"took_ms", std::to_string(ToMilliseconds(now - received_at_))},
       {"left_ms", std::to_string(ToMilliseconds(deadline_ - now))},
       {"configuration", std::to_string(routes_ == nullptr ? 0 : routes_->version())},
       {"revision", std::to_string(state.revision.value())},
       {"heard_ms", std::to_string(ToMilliseconds(now - gateway_->last_contact()))}},
      now);
}

}  // namespace primroseweir
