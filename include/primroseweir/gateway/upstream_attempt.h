#ifndef PRIMROSEWEIR_GATEWAY_UPSTREAM_ATTEMPT_H_
#define PRIMROSEWEIR_GATEWAY_UPSTREAM_ATTEMPT_H_

#include <memory>
#include <string>

#include "primroseweir/balance/admission_queue.h"
#include "primroseweir/balance/balanced_upstream.h"
#include "primroseweir/base/time.h"
#include "primroseweir/gateway/connection_reuse.h"
#include "primroseweir/loop/http_client_callbacks.h"
#include "primroseweir/loop/timer.h"

namespace primroseweir {

class HttpClientStream;
class RoutedCall;
class LoadBalancer;
class UpstreamConnectionPool;
struct RequestHead;

// One attempt of a call at one upstream. Counts as in flight there until it is finished or
// destroyed.
class UpstreamAttempt : public HttpClientCallbacks {
 public:
  struct Dependencies {
    EventLoop* loop = nullptr;
    LoadBalancer* balancer = nullptr;
    UpstreamConnectionPool* pool = nullptr;
    // The queue that counts the attempt as the customer's, and by which claim. Null without
    // customers. Outlives the attempt.
    AdmissionQueue* queue = nullptr;
    AdmissionQueue::Claim claim;
  };

  // Takes a connection from the pool and starts to connect if it is a new one. `call` outlives the
  // attempt.
  UpstreamAttempt(const Dependencies& dependencies, std::shared_ptr<BalancedUpstream> upstream,
                  RoutedCall* call, ConnectionReuse reuse, Instant now);
  // Finishes an attempt that is still in progress as cancelled. The connection returns to the pool
  // if the response was complete and is closed otherwise.
  ~UpstreamAttempt() override;

  // Sends the request, or its head and the first part of its body. `echo_field` and `echo_value`
  // are the field that the response must echo. If a refusal without it was discarded and no
  // response has arrived when the attempt is overdue, the attempt fails: the refusal may have been
  // its own.
  void Send(const RequestHead& head, const std::string& body, const std::string& echo_field,
            const std::string& echo_value);
  // Sends the next piece of the body; `last` marks its end.
  void SendPiece(const std::string& piece, bool last);
  // Bytes of the request that the upstream has not accepted yet.
  std::size_t pending_bytes() const;

  // Records the outcome of the attempt; only the first call has an effect.
  void Finish(UpstreamOutcome outcome, Instant now);

  // Whether a byte of the request may have reached the upstream.
  bool has_sent() const { return has_sent_; }
  BalancedUpstream& upstream() const { return *upstream_; }
  // Start of the time that the upstream needs to respond: the start of the attempt, or the end of a
  // streamed body, since the upstream waits for the caller until then.
  Instant started_at() const { return started_at_; }
  // Estimates for the upstream when it was picked: the number of calls there, including this one,
  // and the factor by which it is slower than usual.
  double occupancy() const { return occupancy_; }
  double slowness() const { return slowness_; }
  HttpClientStream* stream() const { return stream_.get(); }

  void OnSent() override;
  void OnWriteDrained() override;
  void OnUnidentifiedError() override;
  void OnResponse(ResponseHead* head, std::string piece, bool is_complete) override;
  void OnFailure(Failure failure) override;

  // Longer than a TCP handshake takes on a healthy link and shorter than the retransmission
  // time-out of a lost SYN.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
  // An attempt is reported as overdue after this many times the latency estimate, and then again
  // after intervals that grow by this factor.
  static constexpr int kOverdueFactor = 2;

 private:
  void OnOverdue();
  // Starts the overdue timer: the request is complete and the upstream is expected to respond.
  void StartResponseTimer();

  const Dependencies dependencies_;
  std::shared_ptr<BalancedUpstream> upstream_;
  RoutedCall* const call_;
  Instant started_at_;
  double occupancy_ = 0;
  double slowness_ = 1;
  bool has_sent_ = false;
  // More of the request body follows.
  bool has_more_body_ = false;
  // A refusal that may have been the response to this attempt was discarded.
  bool has_unidentified_error_ = false;
  bool is_complete_ = false;
  bool is_finished_ = false;
  std::unique_ptr<HttpClientStream> stream_;
  Timer connect_timer_;
  Duration overdue_after_{};
  Timer overdue_timer_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_UPSTREAM_ATTEMPT_H_
