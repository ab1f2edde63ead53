#ifndef PRIMROSEWEIR_GATEWAY_UPSTREAM_ATTEMPT_H_
#define PRIMROSEWEIR_GATEWAY_UPSTREAM_ATTEMPT_H_

#include <memory>
#include <string>

#include "primroseweir/balance/balanced_upstream.h"
#include "primroseweir/base/time.h"
#include "primroseweir/loop/http_client_listener.h"
#include "primroseweir/loop/timer.h"

namespace primroseweir {

class HttpClientStream;
class RoutedCall;
class LoadBalancer;
class UpstreamConnectionPool;
struct RequestHead;

// One try of a call at one upstream. Counts as in flight there until it is destroyed.
class UpstreamAttempt : public HttpClientListener {
 public:
  struct Dependencies {
    EventLoop* loop = nullptr;
    LoadBalancer* balancer = nullptr;
    UpstreamConnectionPool* pool = nullptr;
  };

  // Starts the attempt. `call` outlives it.
  UpstreamAttempt(const Dependencies& dependencies, std::shared_ptr<BalancedUpstream> upstream,
                  RoutedCall* call, bool at_most_once, Instant now);
  // An attempt that did not end by itself is cancelled: its connection closes.
  ~UpstreamAttempt() override;

  void Send(const RequestHead& head, const std::string& body, const std::string& echo_field,
            const std::string& echo_value);
  // Sends a further piece of the body.
  void SendPiece(const std::string& piece, bool last);
  // Bytes that the upstream has not taken yet.
  std::size_t pending_bytes() const;

  // Notes how the attempt ended.
  void Finish(UpstreamOutcome outcome, Instant now);

  // Whether a byte of the request may have reached the upstream.
  bool sent() const { return sent_; }
  BalancedUpstream& upstream() const { return *upstream_; }
  // When the attempt started, or when the end of a body in pieces was sent: before that the
  // upstream waits for the caller.
  Instant started() const { return started_; }
  // What was known of the upstream at the choice: calls there, this one included, and slowness.
  double occupancy() const { return occupancy_; }
  double slowness() const { return slowness_; }
  HttpClientStream* stream() const { return stream_.get(); }

  void OnSent() override;
  void OnWriteDrained() override;
  void OnResponse(ResponseHead* head, std::string piece, bool is_complete) override;
  void OnFailure(Failure failure) override;

  // Longer than a lost opening packet would need on a healthy link, shorter than its repetition.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
  // An attempt is reported as overdue after this many usual times, and again each time that the
  // time since then has grown by the same factor.
  static constexpr int kOverdueFactor = 2;

 private:
  void OnOverdue();
  // The answer is due from now on.
  void StartResponseTimer();

  const Dependencies dependencies_;
  std::shared_ptr<BalancedUpstream> upstream_;
  RoutedCall* const call_;
  Instant started_;
  double occupancy_ = 0;
  double slowness_ = 1;
  bool sent_ = false;
  // More of the call's body follows.
  bool sending_ = false;
  bool is_complete_ = false;
  bool finished_ = false;
  std::unique_ptr<HttpClientStream> stream_;
  Timer connect_timer_;
  Duration overdue_after_{};
  Timer overdue_timer_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_UPSTREAM_ATTEMPT_H_
