#ifndef PRIMROSEWEIR_FILTERS_DETAIL_ATTEMPT_H_
#define PRIMROSEWEIR_FILTERS_DETAIL_ATTEMPT_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "primroseweir/base/time.h"
#include "primroseweir/filters/pooled_connection.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/routing/call_result.h"
#include "primroseweir/routing/upstream_lease.h"

namespace primroseweir {

struct Call;

namespace detail {

// One attempt of a call at one upstream: the lease, the connection and the answer's head.
class Attempt {
 public:
  // An attempt that is destroyed unfinished counts as cancelled.
  Attempt(UpstreamLease lease, PooledConnection connection);

  // Sends the head and the buffered body, then streams the rest of the body from the caller.
  // Aborted: the upstream answers before it took everything.
  absl::Status Send(Call* call, const RequestHead& head);

  // The answer's head if it has arrived, else null.
  absl::StatusOr<const ResponseHead*> TryReadHead();

  // Ends the attempt and reports it to the upstream's observations. Further calls do nothing.
  void Finish(AttemptOutcome end);

  // Whether a byte of the request left on the connection.
  bool sent() const { return connection_->socket()->bytes_sent() > bytes_before_; }
  // Whether a byte of an answer arrived.
  bool received() const { return connection_->socket()->bytes_received() > received_before_; }
  // Whether the upstream reset the connection.
  bool WasReset() const { return connection_->socket()->was_reset(); }
  // The upstream refused the call explicitly: it was not run.
  bool WasRefused() const;
  // The upstream shed the call without saying whether it ran.
  bool WasShed() const { return head_ != nullptr && head_->status == 503 && !WasRefused(); }

  ClientConnection* connection() { return connection_.get(); }
  PooledConnection* pooled() { return &connection_; }
  const UpstreamRecord& record() const { return lease_.record(); }
  int descriptor() const { return connection_->socket()->descriptor(); }
  // The answer's head; null before it arrived.
  const ResponseHead* head() const { return head_; }
  Duration time_to_head() const { return time_to_head_; }

 private:
  absl::Status StreamRest(Call* call);

  UpstreamLease lease_;
  PooledConnection connection_;
  std::uint64_t bytes_before_ = 0;
  std::uint64_t received_before_ = 0;
  Instant started_;
  Duration time_to_head_{};
  bool finished_ = false;
  const ResponseHead* head_ = nullptr;
};

// The head of a call as an upstream gets it, with the remaining deadline.
RequestHead UpstreamHead(const Call& call, Instant now);

// Reads a load report such as "in_flight=4; latency_ms=12". Nothing when it names no in_flight.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DETAIL_ATTEMPT_H_
