#include "primroseweir/filters/detail/call_dispatch.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/filters/call.h"
#include "primroseweir/filters/connection_pool.h"
#include "primroseweir/filters/detail/response_relay.h"
#include "primroseweir/http/server_connection.h"
#include "primroseweir/http/socket_wait.h"
#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/routing/router.h"
#include "primroseweir/routing/service_limits.h"

namespace primroseweir::detail {
namespace {

// Section 7.5: two executions of a call, three further upstreams after refusals.
constexpr int kMaxExecutions = 2;
constexpr int kMaxResends = 3;
// A hedge that can't connect at once is not worth its budget.
constexpr auto kHedgeConnectTimeout = std::chrono::milliseconds(20);

// Time for a crashed upstream's machine to refuse a connection.
constexpr auto kRefusalTimeout = std::chrono::milliseconds(50);

// Whether nothing listens at the address any more. A connection that opens is closed at once.
bool RefusesConnections(const SocketAddress& address) {
  const auto socket = SocketStream::Connect(address, MonotonicNow() + kRefusalTimeout);
  return absl::IsUnavailable(socket.status());
}

AttemptOutcome UpperBoundOf(const absl::Status& failure) {
  switch (failure.code()) {
    case absl::StatusCode::kDeadlineExceeded:
      return AttemptOutcome::kTimedOut;
    case absl::StatusCode::kCancelled:
      return AttemptOutcome::kCancelled;
    default:
      return AttemptOutcome::kConnectionLost;
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
    limits_->retries.RecordFirstAttempt();
  }
  while (true) {
    auto status = Start();
    if (status.ok()) {
      status = AwaitHead();
    }
    if (!status.ok()) {
      if (!ShouldRetryAfter(status)) {
        return Failure(status);
      }
    } else if (current_->WasRefused()) {
      if (!ShouldRetryAfterRefusal()) {
        return Failure(absl::UnavailableError("every upstream tried refused the call"));
      }
    } else if (!ShouldRetryAfterShedding()) {
      return ForwardResponse();
    }
  }
}

// ---- attempts ----

absl::Status CallDispatch::Acquire(std::optional<UpstreamLease>* lease) {
  if (next_lease_) {
    *lease = std::move(next_lease_);
    next_lease_.reset();
    return absl::OkStatus();
  }
  dependencies_.ensure_fresh(MonotonicNow());
  auto acquired = dependencies_.router->Acquire(request_, MonotonicNow());
  // The process may have been paused while the call waited.
  if (acquired.ok() && !dependencies_.ensure_fresh(MonotonicNow())) {
    acquired = dependencies_.router->Acquire(request_, MonotonicNow());
  }
  if (!acquired.ok()) {
    no_upstream_ = true;
    step_ = OriginOf(acquired.status()).step;
    return acquired.status();
  }
  *lease = std::move(*acquired);
  return absl::OkStatus();
}

absl::Status CallDispatch::Start() {
  current_.reset();
  std::optional<UpstreamLease> lease;
  auto status = Acquire(&lease);
  if (!status.ok()) {
    return status;
  }
  auto attempt = Connect(std::move(*lease), call_->deadline);
  if (!attempt.ok()) {
    return attempt.status();
  }
  current_ = std::move(*attempt);
  return Send(current_.get());
}

absl::StatusOr<std::unique_ptr<Attempt>> CallDispatch::Connect(UpstreamLease lease,
                                                               Instant deadline) {
  const auto& record = lease.record();
  step_ = "connect";
  peer_ = record.id.value();
  request_.excluded.insert(record.id);
  auto connection =
      dependencies_.pool->Acquire(record, !call_->idempotent, MonotonicNow(), deadline);
  if (connection.ok()) {
    return std::make_unique<Attempt>(std::move(lease), std::move(*connection));
  }
  CallResult result;
  // A used-up share says nothing about the upstream.
  result.end = absl::IsResourceExhausted(connection.status()) ? AttemptOutcome::kCancelled
                                                              : AttemptOutcome::kConnectFailed;
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
  body_consumed_ = body_consumed_ || !call_->body_complete;
  auto status = attempt->Send(call_, head);
  if (attempt->sent()) {
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
      auto arrived = CheckHead(attempt, other);
      if (!arrived.ok()) {
        return arrived.status();
      }
      if (*arrived) {
        SelectWinner(attempt, &other);
        return absl::OkStatus();
      }
    }
    const int first = current_ == nullptr ? -1 : current_->descriptor();
    const int second = hedge_ == nullptr ? -1 : hedge_->descriptor();
    const auto limit = std::min(call_->deadline, hedge_at);
    auto status = WaitForAny({{first, POLLIN}, {second, POLLIN}},
                             call_->caller->socket()->descriptor(), limit);
    if (absl::IsDeadlineExceeded(status) && limit < call_->deadline) {
      hedge_at = Instant::max();
      StartHedge();
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
    (*attempt)->Finish(AttemptOutcome::kConnectionLost);
    attempt->reset();
    return false;
  }
  if ((*attempt)->WasRefused() || (*attempt)->WasShed()) {
    may_have_executed_ = may_have_executed_ || (*attempt)->WasShed();
    (*attempt)->Finish(AttemptOutcome::kRefused);
    attempt->reset();
    return false;
  }
  return *head != nullptr;
}

void CallDispatch::SelectWinner(std::unique_ptr<Attempt>* winner, std::unique_ptr<Attempt>* loser) {
  if (*loser != nullptr) {
    may_have_executed_ = true;
    (*loser)->Finish(AttemptOutcome::kCancelled);
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
  HedgePolicy::Call kind;
  kind.get = call_->request->method == "GET";
  kind.idempotent = call_->idempotent;
  kind.depth = static_cast<std::uint32_t>(call_->depth);
  const auto delay = limits_->hedges.Delay(kind);
  return delay ? MonotonicNow() + *delay : Instant::max();
}

void CallDispatch::StartHedge() {
  auto lease = dependencies_.router->TryAcquire(request_, MonotonicNow());
  if (!lease.ok() || !TryAcquireRetry()) {
    return;
  }
  auto attempt = Connect(std::move(*lease), MonotonicNow() + kHedgeConnectTimeout);
  if (!attempt.ok()) {
    return;
  }
  if (Send(attempt->get()).ok()) {
    hedge_ = std::move(*attempt);
  } else {
    (*attempt)->Finish(AttemptOutcome::kConnectionLost);
  }
}

// ---- decisions ----

bool CallDispatch::TryAcquireRetry() { return limits_ != nullptr && limits_->retries.TryAcquire(); }

void CallDispatch::RecordLoss(const Attempt& attempt, const absl::Status& failure) {
  if (!attempt.sent() || attempt.head() != nullptr ||
      UpperBoundOf(failure) != AttemptOutcome::kConnectionLost) {
    return;
  }
  const auto& record = attempt.record();
  if (attempt.WasReset() || RefusesConnections(record.address)) {
    dependencies_.router->crash_guard().AddStrike(call_->fingerprint, record.id, MonotonicNow());
  }
}

bool CallDispatch::MayExecuteAgain() const {
  return call_->depth == 0 && call_->idempotent && executions_ < kMaxExecutions &&
         !body_consumed_ && MonotonicNow() < call_->deadline;
}

bool CallDispatch::ShouldRetryAfter(const absl::Status& failure) {
  hedge_.reset();
  if (no_upstream_) {
    return false;
  }
  const bool final = absl::IsCancelled(failure) || MonotonicNow() >= call_->deadline;
  if (current_ == nullptr || !current_->sent()) {
    if (current_ != nullptr) {
      current_->Finish(UpperBoundOf(failure));
    }
    return !final && (absl::IsResourceExhausted(failure) || ++refusals_ <= kMaxResends);
  }
  may_have_executed_ = true;
  if (absl::IsDeadlineExceeded(failure) && !current_->received()) {
    current_->pooled()->MarkUnresponsive();
  }
  RecordLoss(*current_, failure);
  current_->Finish(UpperBoundOf(failure));
  return !final && MayExecuteAgain() && TryAcquireRetry();
}

bool CallDispatch::ShouldRetryAfterRefusal() {
  --executions_;
  current_->Finish(AttemptOutcome::kRefused);
  return ++refusals_ <= kMaxResends && !body_consumed_ && MonotonicNow() < call_->deadline;
}

// The answer of an upstream that shed the call is given up only when another upstream is at hand.
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
  current_->Finish(AttemptOutcome::kRefused);
  return true;
}

// ---- answers ----

CallOutcome CallDispatch::ForwardResponse() {
  CallOutcome end;
  end.answered = true;
  end.http_status = current_->head()->status;
  end.peer = peer_;
  ResponseRelay relay(call_, [this](std::uint64_t offset, const std::string& etag) {
    return Resume(offset, etag);
  });
  const auto status = relay.Forward(&current_);
  current_->Finish(status.ok() ? AttemptOutcome::kAnswered : UpperBoundOf(status));
  return end;
}

std::unique_ptr<Attempt> CallDispatch::Resume(std::uint64_t offset, const std::string& etag) {
  current_->Finish(AttemptOutcome::kConnectionLost);
  // The deadline of the call covers the time to the first byte; the rest of a download has its own.
  call_->deadline = std::max(call_->deadline, MonotonicNow() + std::chrono::seconds(10));
  request_.deadline = call_->deadline;
  // A resume asks for the missing bytes only, so that it does not multiply the work of a download.
  // It needs no token of the budget, which is empty for a service with few calls.
  if (!MayExecuteAgain()) {
    return nullptr;
  }
  auto broken = std::move(current_);
  range_ = "bytes=" + std::to_string(offset) + "-";
  if_range_ = etag;
  const bool started = Start().ok() && AwaitHead().ok();
  auto resumed = started ? std::move(current_) : nullptr;
  current_ = std::move(broken);
  return resumed;
}

CallOutcome CallDispatch::Failure(const absl::Status& failure) const {
  const bool late = absl::IsDeadlineExceeded(failure);
  const std::string reason(failure.message());
  auto end = may_have_executed_ ? CallOutcome::Unknown(step_, reason, late ? 504 : 502)
                                : CallOutcome::NotExecuted(step_, reason, late ? 504 : 503);
  end.peer = peer_;
  if (!may_have_executed_ && !late) {
    const auto wait = dependencies_.router->RetryAfter(call_->service);
    end.retry_after = static_cast<int>(std::chrono::ceil<std::chrono::seconds>(wait).count());
    end.retry_after = std::max(end.retry_after, 1);
  }
  return end;
}

}  // namespace primroseweir::detail
