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

// One attempt of a call at one upstream: its lease, connection and response head.
class Attempt {
 public:
  // An attempt that is destroyed before Finish counts as cancelled.
  Attempt(UpstreamLease lease, PooledConnection connection);

  // Sends the head and the buffered body, then streams the rest of the body from the caller.
  // Returns Aborted when the upstream responds before the whole request is sent.
  absl::Status Send(Call* call, const RequestHead& head);

  // Returns the response head, or null when it has not arrived yet. Does not wait.
  absl::StatusOr<const ResponseHead*> TryReadHead();

  // Ends the attempt and records its outcome in the upstream's observations. Further calls do
  // nothing.
  void Finish(AttemptEnd outcome);

  // Returns whether at least one byte of the request was sent.
  bool has_sent_bytes() const { return connection_->socket()->bytes_sent() > bytes_sent_before_; }
  // Returns whether at least one byte of a response arrived.
  bool has_received_bytes() const {
    return connection_->socket()->bytes_received() > bytes_received_before_;
  }
  // Returns whether the upstream reset the connection.
  bool WasReset() const { return connection_->socket()->was_reset(); }
  // Returns whether the upstream stated that it refused the call without executing it.
  bool WasRefused() const;
  // Returns whether the upstream shed the call without stating whether it was executed.
  bool WasShed() const { return head_ != nullptr && head_->status == 503 && !WasRefused(); }

  ClientConnection* connection() { return connection_.get(); }
  PooledConnection* pooled_connection() { return &connection_; }
  const UpstreamRecord& record() const { return lease_.record(); }
  int descriptor() const { return connection_->socket()->descriptor(); }
  // The response head; null before it has arrived.
  const ResponseHead* head() const { return head_; }
  Duration time_to_head() const { return time_to_head_; }

 private:
  absl::Status StreamRemainingBody(Call* call);

  UpstreamLease lease_;
  PooledConnection connection_;
  std::uint64_t bytes_sent_before_ = 0;
  std::uint64_t bytes_received_before_ = 0;
  Instant started_at_;
  Duration time_to_head_{};
  bool finished_ = false;
  const ResponseHead* head_ = nullptr;
};

// Returns the request head for the upstream, with the time left until the call's deadline.
RequestHead UpstreamHead(const Call& call, Instant now);

// Parses a load report such as "in_flight=4; latency_ms=12". Returns nullopt when in_flight is
// missing.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DETAIL_ATTEMPT_H_
