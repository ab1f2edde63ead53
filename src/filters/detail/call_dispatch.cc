#include "primroseweir/filters/detail/call_dispatch.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/filters/call.h"
#include "primroseweir/filters/connection_pool.h"
#include "primroseweir/filters/customer_filter.h"
#include "primroseweir/filters/detail/response_relay.h"
#include "primroseweir/http/server_connection.h"
#include "primroseweir/http/socket_wait.h"
#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/routing/router.h"
#include "primroseweir/routing/service_limits.h"

namespace primroseweir::detail {
namespace {

// A call is executed at most twice. After refusals and failed connects it is sent to at most three
// further upstreams.
constexpr int kMaxExecutions = 2;
constexpr int kMaxResendsAfterRefusal = 3;
// A hedge that cannot connect at once is not worth its token of the retry budget.
constexpr auto kHedgeConnectTimeout = std::chrono::milliseconds(20);
// Time between attempts to start a hedge while no other upstream has room. A warm-up window that
// was reset has none for 400 ms.
constexpr auto kHedgeRetryInterval = std::chrono::milliseconds(20);

// Time allowed for the host of a crashed upstream to refuse a connection.
constexpr auto kRefusalProbeTimeout = std::chrono::milliseconds(50);

// Returns whether nothing listens at the address any more. A connection that opens is closed at
// once.
bool IsRefusingConnections(const SocketAddress& address) {
  const auto socket = SocketStream::Connect(address, MonotonicNow() + kRefusalProbeTimeout);
  return absl::IsUnavailable(socket.status());
}

AttemptEnd AttemptEndOf(const absl::Status& failure) {
  switch (failure.code()) {
    case absl::StatusCode::kDeadlineExceeded:
      return AttemptEnd::kTimedOut;
    case absl::StatusCode::kCancelled:
      return AttemptEnd::kCancelled;
    default:
      return AttemptEnd::kConnectionLost;
  }
}

}  // namespace

CallDispatch::CallDispatch(const DispatchDependencies& dependencies, Call* call)
    : dependencies_(dependencies),
      limits_(dependencies.router->Limits(call->service)),
      call_(call) {
  request_.service = call->service;
  request_.priority = call->priority;
  request_.deadline = call->deadline;
  request_.fingerprint = call->fingerprint;
}

CallOutcome CallDispatch::Run() {
  if (call_->depth == 0 && limits_ != nullptr) {
    limits_->retry_budget.RecordFirstAttempt();
  }
  while (true) {
    auto status = StartAttempt();
    if (status.ok()) {
      status = AwaitHead();
    }
    if (!status.ok()) {
      if (!ShouldRetryAfter(status)) {
        return MakeFailureOutcome(status);
      }
    } else if (current_->WasRefused()) {
      if (!ShouldRetryAfterRefusal()) {
        return MakeFailureOutcome(
            absl::UnavailableError("all upstreams that were tried refused the call"));
      }
    } else if (!ShouldRetryAfterShedding()) {
      return ForwardResponse();
    }
  }
}

// ---- attempts ----

absl::Status CallDispatch::AcquireLease(std::optional<UpstreamLease>* lease) {
  if (next_lease_) {
    *lease = std::move(next_lease_);
    next_lease_.reset();
    return absl::OkStatus();
  }
  dependencies_.ensure_fresh(MonotonicNow());
  auto acquired = dependencies_.router->Acquire(request_, MonotonicNow());
  // Picks again if the configuration is no longer fresh: the process may have been paused while the
  // call waited.
  if (acquired.ok() && !dependencies_.ensure_fresh(MonotonicNow())) {
    acquired = dependencies_.router->Acquire(request_, MonotonicNow());
  }
  if (!acquired.ok()) {
    lease_failed_ = true;
    step_ = OriginOf(acquired.status()).step;
    return acquired.status();
  }
  *lease = std::move(*acquired);
  return absl::OkStatus();
}

absl::Status CallDispatch::StartAttempt() {
  current_.reset();
  std::optional<UpstreamLease> lease;
  auto status = AcquireLease(&lease);
  if (!status.ok()) {
    return status;
  }
  auto attempt = Connect(std::move(*lease), call_->deadline);
  if (!attempt.ok()) {
    return attempt.status();
  }
  current_ = std::move(*attempt);
  if (!ConfirmCaller()) {
    current_.reset();
    lease_failed_ = true;
    is_caller_refused_ = true;
    step_ = "customer";
    return absl::PermissionDeniedError("the key was withdrawn");
  }
  return Send(current_.get());
}

absl::StatusOr<std::unique_ptr<Attempt>> CallDispatch::Connect(UpstreamLease lease,
                                                               Instant deadline) {
  const auto& record = lease.record();
  step_ = "connect";
  peer_ = record.id.value();
  request_.excluded.insert(record.id);
  auto connection =
      dependencies_.pool->Acquire(record, !call_->is_idempotent, MonotonicNow(), deadline);
  if (connection.ok()) {
    return std::make_unique<Attempt>(std::move(lease), std::move(*connection));
  }
  CallResult result;
  // An exhausted connection share is a local limit and says nothing about the upstream.
  result.outcome = absl::IsResourceExhausted(connection.status()) ? AttemptEnd::kCancelled
                                                                  : AttemptEnd::kConnectFailed;
  lease.Finish(result, MonotonicNow());
  return connection.status();
}

absl::Status CallDispatch::Send(Attempt* attempt) {
  auto head = UpstreamHead(*call_, MonotonicNow());
  if (!range_.empty()) {
    head.fields.Set("Range", range_);
    head.fields.Set("If-Range", if_range_);
  }
  step_ = "send";
  body_consumed_ = body_consumed_ || !call_->is_body_complete;
  auto status = attempt->Send(call_, head);
  if (attempt->has_sent_bytes()) {
    ++executions_;
  }
  step_ = "answer";
  return absl::IsAborted(status) ? absl::OkStatus() : status;
}

absl::Status CallDispatch::AwaitHead() {
  auto hedge_at = HedgeTime();
  while (true) {
    if (current_ == nullptr) {
      current_ = std::move(hedge_);
    }
    for (auto* attempt : {&current_, &hedge_}) {
      auto& other = attempt == &current_ ? hedge_ : current_;
      if (*attempt == nullptr) {
        continue;
      }
      auto head_arrived = CheckHead(attempt, other);
      if (!head_arrived.ok()) {
        return head_arrived.status();
      }
      if (*head_arrived) {
        SelectWinner(attempt, &other);
        return absl::OkStatus();
      }
    }
    const int current_descriptor = current_ == nullptr ? -1 : current_->descriptor();
    const int hedge_descriptor = hedge_ == nullptr ? -1 : hedge_->descriptor();
    const auto wait_until = std::min(call_->deadline, hedge_at);
    auto status = WaitForAny({{current_descriptor, POLLIN}, {hedge_descriptor, POLLIN}},
                             call_->caller->socket()->descriptor(), wait_until);
    if (absl::IsDeadlineExceeded(status) && wait_until < call_->deadline) {
      hedge_at = TryStartHedge();
    } else if (!status.ok()) {
      return status;
    }
  }
}

absl::StatusOr<bool> CallDispatch::CheckHead(std::unique_ptr<Attempt>* attempt,
                                             const std::unique_ptr<Attempt>& other) {
  const auto head = (*attempt)->TryReadHead();
  if (other == nullptr) {
    return head.ok() ? absl::StatusOr<bool>(*head != nullptr) : head.status();
  }
  if (!head.ok()) {
    may_have_executed_ = true;
    RecordLoss(**attempt, head.status());
    (*attempt)->Finish(AttemptEnd::kConnectionLost);
    attempt->reset();
    return false;
  }
  if ((*attempt)->WasRefused() || (*attempt)->WasShed()) {
    may_have_executed_ = may_have_executed_ || (*attempt)->WasShed();
    (*attempt)->Finish(AttemptEnd::kRefused);
    attempt->reset();
    return false;
  }
  return *head != nullptr;
}

void CallDispatch::SelectWinner(std::unique_ptr<Attempt>* winner, std::unique_ptr<Attempt>* loser) {
  if (*loser != nullptr) {
    may_have_executed_ = true;
    ++cancelled_executions_;
    (*loser)->Finish(AttemptEnd::kCancelled);
    loser->reset();
  }
  if (winner == &hedge_) {
    current_ = std::move(hedge_);
  }
  peer_ = current_->record().id.value();
}

Instant CallDispatch::HedgeTime() const {
  if (limits_ == nullptr || !MayExecuteAgain() || !range_.empty()) {
    return Instant::max();
  }
  HedgePolicy::Call hedge_call;
  hedge_call.get = call_->request->method == "GET";
  hedge_call.is_idempotent = call_->is_idempotent;
  hedge_call.depth = static_cast<std::uint32_t>(call_->depth);
  const auto delay = limits_->hedge_policy.Delay(hedge_call);
  return delay ? MonotonicNow() + *delay : Instant::max();
}

Instant CallDispatch::TryStartHedge() {
  const auto now = MonotonicNow();
  auto hedge_request = request_;
  hedge_request.hedge = true;
  auto lease = dependencies_.router->TryAcquire(hedge_request, now);
  if (!lease.ok()) {
    return absl::IsResourceExhausted(lease.status()) ? now + kHedgeRetryInterval : Instant::max();
  }
  if (!TryAcquireRetry()) {
    return Instant::max();
  }
  auto attempt = Connect(std::move(*lease), MonotonicNow() + kHedgeConnectTimeout);
  if (!attempt.ok()) {
    return Instant::max();
  }
  if (!ConfirmCaller()) {
    return Instant::max();
  }
  if (Send(attempt->get()).ok()) {
    hedge_ = std::move(*attempt);
  } else {
    (*attempt)->Finish(AttemptEnd::kConnectionLost);
  }
  return Instant::max();
}

// ---- decisions ----

bool CallDispatch::TryAcquireRetry() {
  return limits_ != nullptr && limits_->retry_budget.TryAcquire();
}

bool CallDispatch::ConfirmCaller() {
  return dependencies_.services == nullptr ||
         CustomerFilter::Identify(*dependencies_.services->Load(), call_);
}

void CallDispatch::RecordLoss(const Attempt& attempt, const absl::Status& failure) {
  if (!attempt.has_sent_bytes() || attempt.head() != nullptr ||
      AttemptEndOf(failure) != AttemptEnd::kConnectionLost) {
    return;
  }
  const auto& record = attempt.record();
  if (attempt.WasReset() || IsRefusingConnections(record.address)) {
    dependencies_.router->crash_guard().AddStrike(call_->fingerprint, record.id, MonotonicNow());
  }
}

bool CallDispatch::MayExecuteAgain() const { return MayExecuteAfter(executions_); }

bool CallDispatch::MayResume() const {
  return MayExecuteAfter(executions_ - cancelled_executions_);
}

bool CallDispatch::MayExecuteAfter(int executions) const {
  return call_->depth == 0 && call_->is_idempotent && executions < kMaxExecutions &&
         !body_consumed_ && MonotonicNow() < call_->deadline;
}

bool CallDispatch::ShouldRetryAfter(const absl::Status& failure) {
  hedge_.reset();
  if (lease_failed_) {
    return false;
  }
  const bool final = absl::IsCancelled(failure) || MonotonicNow() >= call_->deadline;
  if (current_ == nullptr || !current_->has_sent_bytes()) {
    if (current_ != nullptr) {
      current_->Finish(AttemptEndOf(failure));
    }
    return !final && (absl::IsResourceExhausted(failure) ||
                      ++not_executed_attempts_ <= kMaxResendsAfterRefusal);
  }
  may_have_executed_ = true;
  if (absl::IsDeadlineExceeded(failure) && !current_->has_received_bytes()) {
    current_->pooled_connection()->MarkUnresponsive();
  }
  RecordLoss(*current_, failure);
  current_->Finish(AttemptEndOf(failure));
  return !final && MayExecuteAgain() && TryAcquireRetry();
}

bool CallDispatch::ShouldRetryAfterRefusal() {
  --executions_;
  current_->Finish(AttemptEnd::kRefused);
  return ++not_executed_attempts_ <= kMaxResendsAfterRefusal && !body_consumed_ &&
         MonotonicNow() < call_->deadline;
}

// Discards the response of an upstream that shed the call only when another upstream has room and
// the retry budget allows a retry.
bool CallDispatch::ShouldRetryAfterShedding() {
  if (!current_->WasShed() || !MayExecuteAgain()) {
    return false;
  }
  auto lease = dependencies_.router->TryAcquire(request_, MonotonicNow());
  if (!lease.ok() || !TryAcquireRetry()) {
    return false;
  }
  next_lease_ = std::move(*lease);
  may_have_executed_ = true;
  current_->Finish(AttemptEnd::kRefused);
  return true;
}

// ---- responses ----

CallOutcome CallDispatch::ForwardResponse() {
  CallOutcome call_outcome;
  call_outcome.has_response_begun = true;
  call_outcome.http_status = current_->head()->status;
  call_outcome.peer = peer_;
  ResponseRelay relay(call_, [this](std::uint64_t offset, const std::string& etag) {
    return Resume(offset, etag);
  });
  const auto status = relay.Forward(&current_);
  current_->Finish(status.ok() ? AttemptEnd::kResponded : AttemptEndOf(status));
  return call_outcome;
}

std::unique_ptr<Attempt> CallDispatch::Resume(std::uint64_t offset, const std::string& etag) {
  current_->Finish(AttemptEnd::kConnectionLost);
  // The call's deadline covers only the time to the first byte, so the resumed request gets at
  // least 10 s from now.
  call_->deadline = std::max(call_->deadline, MonotonicNow() + std::chrono::seconds(10));
  request_.deadline = call_->deadline;
  // A resumed request asks only for the missing bytes and does not multiply the work of a download.
  // It therefore takes no token from the retry budget, which is empty for a service with few calls.
  if (!MayResume()) {
    return nullptr;
  }
  auto broken_attempt = std::move(current_);
  range_ = "bytes=" + std::to_string(offset) + "-";
  if_range_ = etag;
  const bool has_new_head = StartAttempt().ok() && AwaitHead().ok();
  auto resumed = has_new_head ? std::move(current_) : nullptr;
  current_ = std::move(broken_attempt);
  return resumed;
}

CallOutcome CallDispatch::MakeFailureOutcome(const absl::Status& failure) const {
  if (is_caller_refused_ && !may_have_executed_) {
    return CustomerFilter::Refusal();
  }
  const bool deadline_passed = absl::IsDeadlineExceeded(failure);
  const std::string reason(failure.message());
  auto call_outcome = may_have_executed_
                          ? CallOutcome::Unknown(step_, reason, deadline_passed ? 504 : 502)
                          : CallOutcome::NotExecuted(step_, reason, deadline_passed ? 504 : 503);
  call_outcome.peer = peer_;
  if (!may_have_executed_ && !deadline_passed) {
    const auto retry_after = dependencies_.router->RetryAfter(call_->service);
    call_outcome.retry_after =
        static_cast<int>(std::chrono::ceil<std::chrono::seconds>(retry_after).count());
    call_outcome.retry_after = std::max(call_outcome.retry_after, 1);
  }
  return call_outcome;
}

}  // namespace primroseweir::detail
