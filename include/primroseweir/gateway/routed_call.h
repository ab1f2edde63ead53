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
#include "primroseweir/gateway/caller_identity.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/http_client_callbacks.h"
#include "primroseweir/loop/timer.h"
#include "primroseweir/routes/route.h"

namespace primroseweir {

class Gateway;
class HttpServerExchange;
class RouteTable;
class UpstreamAttempt;

// One call from the caller's request to the final response. Every path ends with exactly one of a
// forwarded response (whole or streamed), an aborted response, a local reply (Refuse, Fail,
// SendLocalReply) and OnCallerDisconnected, after which the gateway has released the call.
class RoutedCall {
 public:
  // `body` is the complete body, or the first part of a body that the gateway streams.
  RoutedCall(Gateway* gateway, HttpServerExchange* caller, RequestHead head, std::string body,
             Instant now);
  ~RoutedCall();

  // Finds the route, then sends the call to an upstream, queues it or refuses it.
  void Start(Instant now);
  // Cancels all attempts and timers. Called by the gateway when it releases the call.
  void Stop();

  // Resumes a streamed response after the caller has accepted its pending bytes.
  void OnCallerWritable();
  void OnCallerDisconnected(Instant now);

  // Handles the next piece of a streamed body; `last` marks its end.
  void OnBodyPiece(const std::string& piece, bool last);
  // Ends the call, since the rest of a streamed body will not arrive. Aborts a response that has
  // begun. Otherwise the caller gets `status`, or 504 if that status would promise that the call
  // was not executed although it may have been.
  void OnBodyError(int status, Instant now);

  void OnAttemptSent(Instant now);
  // The upstream has accepted all bytes sent so far.
  void OnAttemptWriteDrained();
  void OnAttemptOverdue(const UpstreamAttempt& attempt, Instant now);
  void OnAttemptResponse(UpstreamAttempt* attempt, ResponseHead* head, const std::string& piece,
                         bool is_complete);
  void OnAttemptFailure(UpstreamAttempt* attempt, HttpClientCallbacks::Failure failure);

  // Tries again to pick an upstream, after a probe response or a lost probe connection.
  void OnProbeCompleted(Instant now);
  bool is_probing() const { return is_probing_; }
  // Ends a call that waits for an upstream if the routes in force no longer allow it.
  void CheckWhileWaiting(Instant now);

  HttpServerExchange* caller() const { return caller_; }
  const ServiceName& service() const { return service_; }
  // Priority in the admission queue: that of the customer, or else of the route.
  std::uint32_t priority() const { return identity_.PriorityOr(route_->priority); }

  // Deadline of a call whose caller states none, and the upper bound of stated deadlines.
  static constexpr Duration kDefaultDeadline = std::chrono::seconds(10);
  static constexpr Duration kMaxDeadline = std::chrono::hours(1);
  // Bytes of a streamed response that the caller has not accepted, above which reading from the
  // upstream is paused.
  static constexpr std::size_t kResponseHighWaterMark = std::size_t{256} * 1024;
  // The same while memory is short.
  static constexpr std::size_t kResponseHighWaterMarkIfShort = std::size_t{32} * 1024;
  // Maximum time in which a streamed response makes no progress: the caller acknowledges no byte
  // and the upstream sends none.
  static constexpr Duration kStreamIdleTimeout = std::chrono::seconds(10);
  // Bytes of a streamed body that no upstream has accepted, above which reading from the caller is
  // paused.
  static constexpr std::size_t kRequestHighWaterMark = std::size_t{128} * 1024;
  // Maximum bytes of a body that stay buffered after they were sent, for a retry at another
  // upstream.
  static constexpr std::size_t kMaxReplayBytes = std::size_t{512} * 1024;
  // Maximum number of upstreams tried for one call, including those to which no connection could be
  // opened.
  static constexpr std::size_t kMaxConnectAttempts = 5;
  // Time after which a hedge that could not be started is tried again.
  static constexpr Duration kHedgeRetryDelay = std::chrono::milliseconds(60);
  // Maximum time that a call waits for probes of upstreams whose load reports are old. A response
  // from another data centre takes about 2 ms.
  static constexpr Duration kMaxProbeWait = std::chrono::milliseconds(5);

 private:
  enum class PlacementResult {
    kStarted,
    kProbing,
    kNoRoom,
    kOnlySlowRoom,
    kNoUpstream,
    kNoBudget,
    // The caller's key has been withdrawn.
    kNotAllowed
  };
  // Which upstreams a pick considers, in increasing order.
  enum class PickScope {
    // As kInTime, but first probes upstreams with old load reports, or suspect ones if no upstream
    // can be picked.
    kProbeFirst,
    // Upstreams within the latency limit; downloads and uploads stay in the local data centre.
    kInTime,
    // As kInTime, but downloads and uploads may go to other data centres.
    kAnyDataCentre,
    // As kAnyDataCentre, without a latency limit.
    kAnyLatency,
  };

  // ---- route ----
  // Returns false if the call has ended with a local reply: no configuration or no route.
  bool FindRoute(Instant now);
  // Returns false if the call has ended with a local reply: its caller has no valid key.
  bool IdentifyCaller(Instant now);
  // Identifies the caller again if the configuration has changed since then. Returns whether the
  // call is still allowed.
  bool IsStillAllowed();
  // Ends the call, whose key has been withdrawn: 401, or 502 if it may have been executed.
  void RejectWithdrawnKey(Instant now);
  void SetDeadline(Instant now);
  // Returns false if the call has ended with a local reply: its customer is over the quota.
  bool AcquireQuota(Instant now);
  // Returns the quota of a call that no upstream can have executed.
  void RefundUnsent();

  // ---- placement ----
  // Whether the call is refused at once, since its service is short of room for more urgent calls.
  bool IsRefusedForUrgentCalls(Instant now);
  // Records once whether the call got room, at once or after waiting.
  void RecordPlacement(bool found_room, Instant now);
  static PlacementResult PlacementResultOf(LoadBalancer::PickFailure failure);
  // The call's claim to room, as against other calls that wait.
  AdmissionQueue::Claim MakeClaim() const;
  // Starts an attempt, after waiting calls with a better claim.
  PlacementResult TryStart(PickScope scope, Instant now);
  // Starts an attempt if an upstream can be picked, whether or not other calls wait.
  PlacementResult TryPick(PickScope scope, Instant now);
  // Sends the call to an upstream, waits for probes, queues the call, or ends it: refused if
  // `step_without_retry` is kRefuse, failed with 502 otherwise.
  void PlaceOrEnqueue(RetryPolicy::Step step_without_retry, Instant now);
  bool TryEnqueue(Instant now);
  void OnWaitTimeout();
  // Refuses the waiting call, since a call with a better claim needs its place.
  void OnDisplaced(Instant now);
  // Starts an attempt outside of the usual scope: in another data centre for a download or upload,
  // or, if only slow upstreams have room, at one of those.
  bool TryLastResort(Instant now);
  // Longest expected latency at which an upstream is still picked for this call.
  Duration LatencyLimit(Instant now) const;
  void LeaveQueue();
  void StartAttempt(std::shared_ptr<BalancedUpstream> upstream, Instant now);
  void StartHedge();
  RequestHead MakeUpstreamHead(const UpstreamAttempt& attempt, Instant now) const;
  // Sends the received part of a streamed body to the upstream, and its end once that was received.
  // Pauses the caller while the upstream accepts the body more slowly than the caller sends it.
  void SendBody();
  // Whether the whole body is still available for another upstream.
  bool MayResend() const { return attempts_sent_ == 0 || body_.is_replayable(); }
  // Whether an upstream may have executed the call, or a part of it.
  bool MayHaveExecuted() const;

  // ---- outcomes of attempts ----
  RetryPolicy::State RetryState() const;
  // Whether a 421 response proves that another upstream has the address: it echoes the id of the
  // call, or names that upstream.
  bool IsFromOtherUpstream(const UpstreamAttempt& attempt, const ResponseHead& head) const;
  // An upstream's error response. `piece` is the whole body or, of a large one, its first part.
  struct FailureResponse {
    ResponseHead* head;
    const std::string& piece;
    bool is_complete;
  };
  // Ends an attempt that brought no usable response, and takes the next step of the retry policy.
  // `failure` is the upstream's error response, for Step::kForwardFailure, or null.
  void FinishAttempt(UpstreamAttempt* attempt, RetryPolicy::AttemptEnd outcome,
                     UpstreamOutcome upstream_outcome, const FailureResponse* failure, Instant now);
  // Sends the response for `step` when no further attempt follows.
  void RespondWithoutRetry(RetryPolicy::Step step, const ResponseHead& failure,
                           const std::string& body, Instant now);
  std::unique_ptr<UpstreamAttempt> TakeAttempt(UpstreamAttempt* attempt);
  void Deliver(UpstreamAttempt* attempt, ResponseHead* head, const std::string& piece,
               bool is_complete, Instant now);

  // ---- final responses; each of these releases the call ----
  void ForwardResponse(ResponseHead head, const std::string& body, Instant now);
  void AbortResponse(std::string_view reason, Instant now);
  void Refuse(std::string_view reason, Instant now);
  // As Refuse, for a call that no upstream accepted. If all upstreams of the service asked for a
  // pause, the caller gets the time until the first pause ends, and that reason.
  void RefuseUnplaced(std::string_view reason, Instant now);
  void Fail(int status, std::string_view reason, Instant now);
  void SendLocalReply(int status, std::string_view outcome, std::string_view reason,
                      std::optional<Duration> retry_after, Instant now);
  void OnDeadline();
  // Whether a streamed response has made progress: the caller has acknowledged bytes since the last
  // check or the last piece, or the upstream has sent some within kStreamIdleTimeout.
  bool HasStreamProgress(Instant now);
  void LogCompletion(int status, std::string_view outcome, std::string_view reason,
                     Instant now) const;

  Gateway* const gateway_;
  HttpServerExchange* const caller_;
  const RequestHead head_;
  CallBody body_;
  // Bytes of the body that were sent on the current attempt, and whether its end was.
  std::size_t body_sent_ = 0;
  bool is_body_end_sent_ = false;
  const Instant received_at_;
  const std::string request_id_;
  // Keeps route_ valid.
  std::shared_ptr<const RouteTable> routes_;
  const Route* route_ = nullptr;
  CallerIdentity identity_;
  // The routes by which the caller was identified; newer than routes_ after a change.
  std::shared_ptr<const RouteTable> identity_routes_;
  ServiceName service_;
  Instant deadline_;
  std::uint64_t fingerprint_ = 0;
  std::vector<UpstreamId> tried_upstreams_;
  std::uint32_t attempts_sent_ = 0;
  std::uint32_t hedge_attempts_ = 0;
  // Whether an attempt ended after it was sent, without a statement by the upstream that it did not
  // execute the call.
  bool may_have_executed_ = false;
  // Whether a retry by the caller is as likely to succeed at once as later: the last upstream that
  // refused the call reported free slots, or this instance is stopping while others are not.
  bool retry_may_succeed_at_once_ = false;
  // The customer from whose quota the call was taken, which a later configuration may not have.
  // Later attempts are not charged again.
  std::optional<Customer> charged_customer_;
  // Whether the customer had more than its share of the calls in flight when the call was last to
  // be queued.
  bool is_above_share_ = false;
  bool is_streaming_response_ = false;
  // The gateway has released the call.
  bool is_stopped_ = false;
  // Time at which a streamed response is aborted.
  Instant stream_deadline_;
  // Bytes of a streamed response that the caller had not acknowledged at the last check.
  std::size_t stream_unacked_bytes_ = 0;
  bool is_placement_recorded_ = false;
  bool is_probing_ = false;
  // Time at which the call stops waiting for probes; set by its first probe.
  Instant probe_deadline_;
  // Estimated calls at the upstream that was picked last, for the log.
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
