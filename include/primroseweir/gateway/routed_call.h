#ifndef PRIMROSEWEIR_GATEWAY_ROUTED_CALL_H_
#define PRIMROSEWEIR_GATEWAY_ROUTED_CALL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "primroseweir/balance/call_policy.h"
#include "primroseweir/balance/upstream_book.h"
#include "primroseweir/balance/wait_queue.h"
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
// Refuse, Fail and OnCallerGone, after which the gateway has released the call.
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
  void OnCallerReady();
  void OnCallerGone(Instant now);

  // A further piece of a streamed body arrived.
  void OnBodyPiece(const std::string& piece, bool last);
  // The rest of a streamed body will not come; `status` is the answer if the call went nowhere.
  void OnBodyBroken(int status, Instant now);

  void OnAttemptSent(Instant now);
  // The upstream took what it was sent of a streamed body.
  void OnAttemptTaken();
  void OnAttemptOverdue(const UpstreamAttempt& attempt, Instant now);
  void OnAttemptAnswer(UpstreamAttempt* attempt, ResponseHead* head, const std::string& piece,
                       bool whole);
  void OnAttemptFailure(UpstreamAttempt* attempt, HttpClientListener::Failure failure);

  // A probe that the call waits for was answered.
  void OnReport(Instant now);
  bool probing() const { return probing_; }

  HttpServerStream* caller() const { return caller_; }
  const ServiceName& service() const { return service_; }

  // Deadline of callers that state none, and the longest that one can state.
  static constexpr Duration kDefaultDeadline = std::chrono::seconds(10);
  static constexpr Duration kLongestDeadline = std::chrono::hours(1);
  // A streamed answer waits for the caller above this size.
  static constexpr std::size_t kMaxPending = std::size_t{256} * 1024;
  // Longest pause in the middle of a streamed answer.
  static constexpr Duration kStreamPause = std::chrono::seconds(10);
  // A streamed body waits for the upstream above this size.
  static constexpr std::size_t kMaxUnsent = std::size_t{128} * 1024;
  // What was sent of a body is kept up to this size, for another upstream.
  static constexpr std::size_t kMaxReplay = std::size_t{512} * 1024;
  // Upstreams to which no connection could be opened, before the call is refused.
  static constexpr std::size_t kMaxTried = 5;
  // A second attempt that found no room is tried again after this time.
  static constexpr Duration kHedgeRetry = std::chrono::milliseconds(60);
  // Time that a call waits for probes of upstreams with old reports: two data centres apart, an
  // answer takes about 2 ms.
  static constexpr Duration kProbeWait = std::chrono::milliseconds(5);

 private:
  enum class Placement { kStarted, kProbing, kNoRoom, kOnlySlow, kNoUpstream, kNoBudget };
  // How far a choice goes.
  enum class Effort {
    // Probes upstreams with old reports first.
    kProbe,
    // Upstreams that answer in time; downloads and uploads stay in their data centre.
    kUsual,
    // Downloads and uploads go to other data centres too.
    kAnywhere,
    // Slow upstreams too.
    kAnySpeed,
  };

  // ---- route ----
  // False when the call ended here.
  bool FindRoute(Instant now);
  void SetDeadline(Instant now);

  // ---- placement ----
  static Placement PlacementOf(UpstreamBook::Obstacle obstacle);
  Placement TryStart(Effort effort, Instant now);
  // Places the call, or lets it wait, or ends it as `without` says.
  void Place(CallPolicy::Step without, Instant now);
  bool Wait(Instant now);
  void OnWaitEnd();
  // Tries what is left when no upstream answers in time: other data centres for a download or
  // upload, then a slow upstream unless the fast ones are full.
  bool TryLast(Instant now);
  // Expected time to answer beyond which an upstream does not help this call.
  Duration Acceptable(Instant now) const;
  void LeaveQueue();
  void StartAttempt(std::shared_ptr<BalancedUpstream> upstream, Instant now);
  void StartHedge();
  RequestHead UpstreamHead(const UpstreamAttempt& attempt, Instant now) const;
  // Sends on what arrived of a streamed body, and holds the caller back when the upstream takes it
  // more slowly.
  void SendBody();
  // Whether the body is still at hand for another upstream.
  bool MayResend() const { return sends_ == 0 || body_.replayable(); }
  // Whether an upstream may have run the call.
  bool MayHaveRun() const;

  // ---- endings of attempts ----
  CallPolicy::State PolicyState() const;
  // Ends an attempt that brought no usable answer, and goes on from there. `failure` is the
  // upstream's own failure, for Step::kPass.
  void EndAttempt(UpstreamAttempt* attempt, CallPolicy::Ending ending, AttemptResult result,
                  const ResponseHead* failure, const std::string& body, Instant now);
  // Gives the answer that `step` asks for when no further attempt follows.
  void AnswerWithout(CallPolicy::Step step, const ResponseHead& failure, const std::string& body,
                     Instant now);
  void RemoveAttempt(UpstreamAttempt* attempt);
  void Deliver(UpstreamAttempt* attempt, ResponseHead* head, const std::string& piece, bool whole,
               Instant now);

  // ---- final answers; each releases the call ----
  void Pass(ResponseHead head, const std::string& body, Instant now);
  void Cut(std::string_view reason, Instant now);
  void Refuse(std::string_view reason, Instant now);
  void Fail(int status, std::string_view reason, Instant now);
  void AnswerOwn(int status, std::string_view outcome, std::string_view reason,
                 std::optional<Duration> retry_after, Instant now);
  void OnDeadline();
  void LogEnd(int status, std::string_view outcome, std::string_view reason, Instant now) const;

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
  std::vector<UpstreamId> tried_;
  std::uint32_t sends_ = 0;
  std::uint32_t hedge_tries_ = 0;
  // Attempts that were sent and ended without a word that the call did not run.
  bool may_have_run_ = false;
  // Another try is as likely to succeed at once as later: the last upstream that said that it did
  // not run the call had room by its own report, or this instance stops and others do not.
  bool elsewhere_has_room_ = false;
  bool streaming_ = false;
  // When a streamed answer has taken too long.
  Instant stream_end_;
  bool probing_ = false;
  // When the call goes on with what is known; set by its first probe.
  Instant probe_end_;
  // The last choice's inputs, for the log.
  double occupancy_ = 0;
  std::vector<std::unique_ptr<UpstreamAttempt>> attempts_;
  std::optional<WaitQueue::Ticket> ticket_;
  Timer deadline_timer_;
  Timer wait_timer_;
  Timer probe_timer_;
  Timer hedge_timer_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_ROUTED_CALL_H_
