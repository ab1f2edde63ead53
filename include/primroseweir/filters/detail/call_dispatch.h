#ifndef PRIMROSEWEIR_FILTERS_DETAIL_CALL_DISPATCH_H_
#define PRIMROSEWEIR_FILTERS_DETAIL_CALL_DISPATCH_H_

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "primroseweir/filters/call_end.h"
#include "primroseweir/filters/detail/attempt.h"
#include "primroseweir/filters/dispatch_services.h"
#include "primroseweir/routing/call_request.h"
#include "primroseweir/routing/upstream_lease.h"

namespace primroseweir {

class LatencyQuantiles;
struct Call;

namespace detail {

// The attempts of one call, one after the other or two at a time, and the answer of the one that
// counts. Belongs to the thread of the call.
class CallDispatch {
 public:
  CallDispatch(const DispatchServices& services, LatencyQuantiles* latencies, Call* call);

  CallEnd Run();

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
  Instant HedgeAt() const;
  void Choose(std::unique_ptr<Attempt>* winner, std::unique_ptr<Attempt>* loser);

  // ---- decisions ----

  // Whether the call goes on after the present attempt failed, was refused or was shed.
  bool GoesOnAfter(const absl::Status& failure);
  bool GoesOnAfterRefusal();
  bool GoesOnAfterShedding();
  bool MayExecuteAgain() const;
  void End(Attempt* attempt, AttemptEnd end);

  // ---- answers ----

  CallEnd PassAnswer();
  std::unique_ptr<Attempt> Resume(std::uint64_t offset, const std::string& etag);
  CallEnd Failure(const absl::Status& failure) const;

  const DispatchServices& services_;
  LatencyQuantiles* const latencies_;
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
  bool possibly_ran_ = false;
  bool body_consumed_ = false;
  bool no_upstream_ = false;
  std::string step_ = "admission";
  std::string peer_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DETAIL_CALL_DISPATCH_H_
