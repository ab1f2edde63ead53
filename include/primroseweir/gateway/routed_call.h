#ifndef PRIMROSEWEIR_GATEWAY_ROUTED_CALL_H_
#define PRIMROSEWEIR_GATEWAY_ROUTED_CALL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "primroseweir/balance/admission_queue.h"
#include "primroseweir/balance/load_balancer.h"
#include "primroseweir/balance/retry_policy.h"
#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/gateway/call_body.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/http_client_listener.h"
#include "primroseweir/loop/timer.h"
#include "primroseweir/routes/route.h"

namespace primroseweir {

class Gateway;
class HttpServerStream;
class RouteTable;
class UpstreamAttempt;

// One caller's call from its request to its final answer. Every path ends in exactly one of Pass,
// Refuse, Fail and OnCallerDisconnected, after which the gateway has released the call.
class RoutedCall {
 public:
  // `body` is the whole body, or the first part of one that the gateway streams.
  RoutedCall(Gateway* gateway, HttpServerStream* caller, RequestHead head, std::string body,
             Instant now);
  ~RoutedCall();

  // Routes the call, then places it at an upstream, queues it or refuses it.
  void Start(Instant now);
  // Cancels everything that is under way. Called by the gateway when it releases the call.
  void Stop();

  // The caller took bytes of a streamed answer.
  void OnCallerWritable();
  void OnCallerDisconnected(Instant now);

  // A further piece of a streamed body arrived.
  void OnBodyPiece(const std::string& piece, bool last);
  // The rest of a streamed body will not come; `status` is the answer if the call went nowhere.
  void OnBodyError(int status, Instant now);

  void OnAttemptSent(Instant now);
  // The upstream took what it was sent of a streamed body.
  void OnAttemptWriteDrained();
  void OnAttemptOverdue(const UpstreamAttempt& attempt, Instant now);
  void OnAttemptResponse(UpstreamAttempt* attempt, ResponseHead* head, const std::string& piece,
                         bool is_complete);
  void OnAttemptFailure(UpstreamAttempt* attempt, HttpClientListener::Failure failure);

  // A probe that the call waits for was answered.
  void OnReport(Instant now);
  bool is_probing() const { return is_probing_; }

  HttpServerStream* caller() const { return caller_; }
  const ServiceName& service() const { return service_; }

  // Deadline of callers that state none, and the longest that one can state.
  static constexpr Duration kDefaultDeadline = std::chrono::seconds(10);
  static constexpr Duration kMaxDeadline = std::chrono::hours(1);
  // A streamed answer waits for the caller above this size.
  static constexpr std::size_t kResponseHighWaterMark = std::size_t{256} * 1024;
  // Longest pause in the middle of a streamed answer.
  static constexpr Duration kStreamIdleTimeout = std::chrono::seconds(10);
  // A streamed body waits for the upstream above this size.
  static constexpr std::size_t kRequestHighWaterMark = std::size_t{128} * 1024;
  // What was sent of a body is kept up to this size, for another upstream.
  static constexpr std::size_t kMaxReplayBytes = std::size_t{512} * 1024;
  // Upstreams to which no connection could be opened, before the call is refused.
  static constexpr std::size_t kMaxConnectAttempts = 5;
  // A second attempt that found no room is tried again after this time.
  static constexpr Duration kHedgeRetryDelay = std::chrono::milliseconds(60);
  // Time that a call waits for probes of upstreams with old reports: two data centres apart, an
  // answer takes about 2 ms.
  static constexpr Duration kMaxProbeWait = std::chrono::milliseconds(5);

 private:
  enum class PlacementResult { kStarted, kProbing, kNoRoom, kOnlySlowRoom, kNoUpstream, kNoBudget };
  // How far a choice goes.
  enum class PickScope {
    // Probes upstreams with old reports first.
    kProbeFirst,
    // Upstreams that answer in time; downloads and uploads stay in their data centre.
    kInTime,
    // Downloads and uploads go to other data centres too.
    kAnyDataCentre,
    // Slow upstreams too.
    kAnyLatency,
  };

  // ---- route ----
  // False when the call ended here.
  bool FindRoute(Instant now);
  void SetDeadline(Instant now);

  // ---- placement ----
  static PlacementResult PlacementResultOf(LoadBalancer::PickFailure failure);
  PlacementResult TryStart(PickScope scope, Instant now);
  // Places the call, or lets it wait, or ends it as `without` says.
  void PlaceOrEnqueue(RetryPolicy::Step without, Instant now);
  bool TryEnqueue(Instant now);
  void OnWaitTimeout();
  // Tries what is left when no upstream answers in time: other data centres for a download or
  // upload, then a slow upstream unless the fast ones are full.
  bool TryLastResort(Instant now);
  // Expected time to answer beyond which an upstream does not help this call.
  Duration LatencyLimit(Instant now) const;
  void LeaveQueue();
  void StartAttempt(std::shared_ptr<BalancedUpstream> upstream, Instant now);
  void StartHedge();
  RequestHead UpstreamHead(const UpstreamAttempt& attempt, Instant now) const;
  // Sends on what arrived of a streamed body, and holds the caller back when the upstream takes it
  // more slowly.
  void SendBody();
  // Whether the body is still at hand for another upstream.
  bool MayResend() const { return attempts_sent_ == 0 || body_.is_replayable(); }
  // Whether an upstream may have run the call.
  bool MayHaveExecuted() const;

  // ---- endings of attempts ----
  RetryPolicy::State PolicyState() const;
  // Ends an attempt that brought no usable answer, and goes on from there. `failure` is the
  // upstream's own failure, for Step::kForwardFailure.
  void FinishAttempt(UpstreamAttempt* attempt, RetryPolicy::AttemptOutcome outcome,
                     UpstreamOutcome upstream_outcome, const ResponseHead* failure,
                     const std::string& body, Instant now);
  // Gives the answer that `step` asks for when no further attempt follows.
  void RespondWithoutRetry(RetryPolicy::Step step, const ResponseHead& failure,
                           const std::string& body, Instant now);
  void RemoveAttempt(UpstreamAttempt* attempt);
  void Deliver(UpstreamAttempt* attempt, ResponseHead* head, const std::string& piece,
               bool is_complete, Instant now);

  // ---- final answers; each releases the call ----
  void ForwardResponse(ResponseHead head, const std::string& body, Instant now);
  void AbortResponse(std::string_view reason, Instant now);
  void Refuse(std::string_view reason, Instant now);
  void Fail(int status, std::string_view reason, Instant now);
  void SendLocalReply(int status, std::string_view outcome, std::string_view reason,
                      std::optional<Duration> retry_after, Instant now);
  void OnDeadline();
  void LogCompletion(int status, std::string_view outcome, std::string_view reason,
                     Instant now) const;

  Gateway* const gateway_;
  HttpServerStream* const caller_;
  const RequestHead head_;
  CallBody body_;
  // Bytes of the body that went to the present attempt.
  std::size_t body_sent_ = 0;
  const Instant arrived_;
  const std::string id_;
  // Keeps route_ valid.
  std::shared_ptr<const RouteTable> routes_;
  const Route* route_ = nullptr;
  ServiceName service_;
  Instant deadline_;
  std::uint64_t fingerprint_ = 0;
  std::vector<UpstreamId> tried_upstreams_;
  std::uint32_t attempts_sent_ = 0;
  std::uint32_t hedge_attempts_ = 0;
  // Attempts that were sent and ended without a word that the call did not run.
  bool may_have_executed_ = false;
  // Another try is as likely to succeed at once as later: the last upstream that said that it did
  // not run the call had room by its own report, or this instance stops and others do not.
  bool elsewhere_has_room_ = false;
  bool streaming_ = false;
  // When a streamed answer has taken too long.
  Instant stream_end_;
  bool is_probing_ = false;
  // When the call goes on with what is known; set by its first probe.
  Instant probe_end_;
  // The last choice's inputs, for the log.
  double occupancy_ = 0;
  std::vector<std::unique_ptr<UpstreamAttempt>> attempts_;
  std::optional<AdmissionQueue::Ticket> ticket_;
  Timer deadline_timer_;
  Timer wait_timer_;
  Timer probe_timer_;
  Timer hedge_timer_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_ROUTED_CALL_H_
