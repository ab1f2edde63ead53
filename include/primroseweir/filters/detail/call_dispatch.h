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

// The attempts of one call, one after the other or two at a time, and the answer of the one that
// counts. Belongs to the thread of the call.
class CallDispatch {
 public:
  CallDispatch(const DispatchDependencies& dependencies, Call* call);

  CallOutcome Run();

 private:
  // ---- attempts ----

  // Acquires an upstream and a connection and sends the call.
  absl::Status Start();
  absl::Status Acquire(std::optional<UpstreamLease>* lease);
  absl::StatusOr<std::unique_ptr<Attempt>> Connect(UpstreamLease lease, Instant deadline);
  absl::Status Send(Attempt* attempt);
  // Waits for the head of the answer, with a hedge where one is allowed.
  absl::Status AwaitHead();
  // True when `attempt` has a head that counts. Drops the attempt when it failed and the other one
  // is still open.
  absl::StatusOr<bool> CheckHead(std::unique_ptr<Attempt>* attempt,
                                 const std::unique_ptr<Attempt>& other);
  void StartHedge();
  Instant HedgeTime() const;
  void SelectWinner(std::unique_ptr<Attempt>* winner, std::unique_ptr<Attempt>* loser);

  // ---- decisions ----

  // Whether the call goes on after the present attempt failed, was refused or was shed.
  bool ShouldRetryAfter(const absl::Status& failure);
  bool ShouldRetryAfterRefusal();
  bool ShouldRetryAfterShedding();
  bool MayExecuteAgain() const;
  bool TryAcquireRetry();
  // Gives the request a strike when the loss looks like a crash of the upstream.
  void RecordLoss(const Attempt& attempt, const absl::Status& failure);

  // ---- answers ----

  CallOutcome ForwardResponse();
  std::unique_ptr<Attempt> Resume(std::uint64_t offset, const std::string& etag);
  CallOutcome Failure(const absl::Status& failure) const;

  const DispatchDependencies& dependencies_;
  // Retry budget and hedge policy of the service; null when it is not in the text.
  const std::shared_ptr<ServiceLimits> limits_;
  Call* const call_;
  CallRequest request_;
  std::unique_ptr<Attempt> current_;
  std::unique_ptr<Attempt> hedge_;
  std::optional<UpstreamLease> next_lease_;
  std::string range_;
  std::string if_range_;
  // Attempts that may have executed the call.
  int executions_ = 0;
  // Attempts that did not execute it: refusals and failed connects.
  int refusals_ = 0;
  bool may_have_executed_ = false;
  bool body_consumed_ = false;
  bool no_upstream_ = false;
  std::string step_ = "admission";
  std::string peer_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DETAIL_CALL_DISPATCH_H_
