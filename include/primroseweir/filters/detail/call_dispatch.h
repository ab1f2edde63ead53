#ifndef PRIMROSEWEIR_FILTERS_DETAIL_CALL_DISPATCH_H_
#define PRIMROSEWEIR_FILTERS_DETAIL_CALL_DISPATCH_H_

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "primroseweir/filters/call_outcome.h"
#include "primroseweir/filters/detail/attempt.h"
#include "primroseweir/filters/dispatch_dependencies.h"
#include "primroseweir/routing/call_request.h"
#include "primroseweir/routing/upstream_lease.h"

namespace primroseweir {

struct Call;
struct ServiceLimits;

namespace detail {

// Makes the attempts of one call, in sequence or two at a time when hedging, and forwards the
// response of the winning attempt. Used only by the thread of the call.
class CallDispatch {
 public:
  CallDispatch(const DispatchDependencies& dependencies, Call* call);

  CallOutcome Run();

 private:
  // ---- attempts ----

  // Acquires a lease and a connection and sends the call.
  absl::Status StartAttempt();
  absl::Status AcquireLease(std::optional<UpstreamLease>* lease);
  absl::StatusOr<std::unique_ptr<Attempt>> Connect(UpstreamLease lease, Instant deadline);
  absl::Status Send(Attempt* attempt);
  // Waits for the response head, and starts a hedge after the hedge delay where one is allowed.
  absl::Status AwaitHead();
  // Returns whether the response head of `attempt` has arrived. While `other` is pending, an
  // attempt that failed, was refused or was shed is discarded instead, and the result is false.
  absl::StatusOr<bool> CheckHead(std::unique_ptr<Attempt>* attempt,
                                 const std::unique_ptr<Attempt>& other);
  // Sends the call to another upstream with a free owned slot. Returns the time of the next attempt
  // to do so, which is never unless no upstream has room now.
  Instant TryStartHedge();
  Instant HedgeTime() const;
  void SelectWinner(std::unique_ptr<Attempt>* winner, std::unique_ptr<Attempt>* loser);

  // ---- decisions ----

  // Return whether to retry after the current attempt failed, was refused or was shed.
  bool ShouldRetryAfter(const absl::Status& failure);
  bool ShouldRetryAfterRefusal();
  bool ShouldRetryAfterShedding();
  bool MayExecuteAgain() const;
  // Whether the rest of a download may be requested. The losing attempt of a hedge does not count:
  // it was cancelled before it sent anything, and on a busy machine most downloads are hedged.
  bool MayResume() const;
  bool MayExecuteAfter(int executions) const;
  bool TryAcquireRetry();
  // Identifies the caller by the configuration in force. Returns whether it may use the service.
  bool ConfirmCaller();
  // Adds a crash strike to the request when the connection loss looks like an upstream crash.
  void RecordLoss(const Attempt& attempt, const absl::Status& failure);

  // ---- responses ----

  CallOutcome ForwardResponse();
  std::unique_ptr<Attempt> Resume(std::uint64_t offset, const std::string& etag);
  CallOutcome MakeFailureOutcome(const absl::Status& failure) const;

  const DispatchDependencies& dependencies_;
  // Retry budget and hedge policy; null when the service is not in the configuration.
  const std::shared_ptr<ServiceLimits> limits_;
  Call* const call_;
  CallRequest request_;
  std::unique_ptr<Attempt> current_;
  std::unique_ptr<Attempt> hedge_;
  std::optional<UpstreamLease> next_lease_;
  std::string range_;
  std::string if_range_;
  // Number of attempts that may have executed the call.
  int executions_ = 0;
  // Those of executions_ that lost as a hedge and were cancelled.
  int cancelled_executions_ = 0;
  // Number of refusals, failed connects and failures before the first byte was sent: in all of them
  // the call was not executed. An exhausted connection share does not count.
  int not_executed_attempts_ = 0;
  bool may_have_executed_ = false;
  bool body_consumed_ = false;
  bool lease_failed_ = false;
  bool is_caller_refused_ = false;
  std::string step_ = "admission";
  std::string peer_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DETAIL_CALL_DISPATCH_H_
