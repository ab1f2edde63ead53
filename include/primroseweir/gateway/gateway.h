#ifndef PRIMROSEWEIR_GATEWAY_GATEWAY_H_
#define PRIMROSEWEIR_GATEWAY_GATEWAY_H_

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "primroseweir/balance/admission_queue.h"
#include "primroseweir/balance/customer_retry_budget.h"
#include "primroseweir/balance/load_balancer.h"
#include "primroseweir/balance/priority_admission.h"
#include "primroseweir/balance/return_schedule.h"
#include "primroseweir/balance/windowed_retry_budget.h"
#include "primroseweir/base/ids.h"
#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"
#include "primroseweir/customers/fleet_quota.h"
#include "primroseweir/gateway/call_header_names.h"
#include "primroseweir/gateway/serving_state.h"
#include "primroseweir/gateway/upstream_connection_pool.h"
#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/next_turn.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/timer.h"
#include "primroseweir/routes/weighted_service_picker.h"

namespace primroseweir {

struct Customer;
class EventLoop;
class GatewayMetrics;
class LineLog;
class RoutedCall;
class UpstreamProber;
struct ResponseHead;

// Proxies calls through one instance: holds the port for callers, the routes, the load balancer and
// the calls in progress. Must only be used on the thread of its event loop.
class Gateway : public RequestSink {
 public:
  struct Options {
    // Address on which callers connect.
    SocketAddress caller_address;
    CallHeaderNames fields;
    LoadBalancer::Options balancer;
    WindowedRetryBudget::Limits retry_budget;
    // Maximum duration of a streamed response; without it, an upstream that never ends its response
    // would hold a connection and a slot for good.
    Duration max_stream_duration = std::chrono::minutes(10);
    std::uint64_t random_seed = 0;
  };

  // `log` and `metrics` outlive the gateway.
  Gateway(EventLoop* loop, const Options& options, LineLog* log, GatewayMetrics* metrics);
  ~Gateway() override;

  // Binds the port for callers. Errors: Unavailable if the address can't be bound.
  absl::Status Listen();

  // ---- state ----

  // Applies a published state at once, to all calls that do not have an upstream yet.
  void Apply(std::shared_ptr<const ServingState> state, Instant now);
  // Records that the platform or a peer confirmed the state as current at `now`.
  void RecordContact(Instant now) { last_contact_ = now; }
  bool is_configured() const { return state_->routes != nullptr; }

  // ---- stop ----

  // Refuses calls that arrive from now on; calls in progress continue.
  void StopAdmitting() { is_admitting_ = false; }
  bool is_admitting() const { return is_admitting_; }
  // From now on, closes each connection of a caller after its current response.
  void Drain(Instant now) { port_.Drain(now); }
  // Stops accepting connections.
  void StopAccepting() { port_.StopAccepting(); }
  std::size_t calls() const { return calls_.size(); }
  // Whether any caller is still sending a request or waiting for the rest of a response.
  bool IsBusy(Instant now) const { return !calls_.empty() || port_.IsBusy(now); }
  // Sets the gauges of memory, connections and the longest turn of the loop, before metrics are
  // read.
  void UpdateGauges();
  // Bytes of requests buffered in memory.
  std::int64_t buffered_bytes() const { return port_.buffered_bytes(); }
  // Sets the callback that is invoked when a call arrives while no other call is in progress.
  void SetWakeListener(std::function<void()> listener) { on_wake_ = std::move(listener); }
  // Calls received and response bytes forwarded since the start.
  std::uint64_t calls_received() const { return calls_received_; }
  std::uint64_t response_bytes() const { return response_bytes_; }
  void CountResponseBytes(std::size_t bytes) { response_bytes_ += bytes; }
  SocketAddress address() const { return port_.address(); }

  // ---- for calls ----

  // Stops the call and removes it. It is destroyed at the next tick, since its functions may still
  // be on the stack.
  void Release(RoutedCall* call);
  // Lets calls in the service's admission queue start if an upstream has room.
  void StartWaitingCalls(const ServiceName& service, Instant now);
  // Probes upstreams that may have room for queued calls, now and repeatedly while calls are
  // queued.
  void ProbeForRoom(const ServiceName& service, Instant now);
  // Resumes the calls of the service that wait for a probe, after a probe response or a lost probe
  // connection.
  void OnProbeCompleted(const ServiceName& service, Instant now);
  UpstreamProber& prober() { return *prober_; }
  // Records what an upstream states about itself in any response: that it leaves, or with a refusal
  // that it asks for a pause.
  void RecordStatements(BalancedUpstream* upstream, const ResponseHead& head, Instant now);
  // Records that a connection was lost after the request with that fingerprint had been sent.
  void RecordSuspectedCrash(const UpstreamId& upstream, std::uint64_t fingerprint, Instant now);
  // Records a crash strike for each request that was suspected within kCrashWindow: the upstream
  // now refuses connections, so the request may have crashed it.
  void ConfirmCrash(const UpstreamId& upstream, Instant now);
  void ClearSuspectedCrashes(const UpstreamId& upstream) { suspected_crashes_.erase(upstream); }
  // Whether memory is too short to keep copies of bodies for a retry.
  bool IsShortOfMemory() const;
  void CountResponse(const Route& route, Duration latency);
  void CountLocalReply(int status);
  void CountCustomerCall(const CustomerName& customer, std::string_view outcome);
  // Acquires permission for a call of the customer, as FleetQuota::TryAcquire, and records it.
  FleetQuota::Decision TryAcquireQuota(const Customer& customer, std::uint64_t request,
                                       Instant now);
  void RefundQuota(const Customer& customer, Instant now);
  FleetQuota& quota() { return quota_; }

  EventLoop* loop() const { return loop_; }
  const CallHeaderNames& fields() const { return options_.fields; }
  Duration max_stream_duration() const { return options_.max_stream_duration; }
  const ServingState& state() const { return *state_; }
  Instant last_contact() const { return last_contact_; }
  LoadBalancer& balancer() { return balancer_; }
  UpstreamConnectionPool& pool() { return pool_; }
  AdmissionQueue& queue(const ServiceName& service) { return queues_[service]; }
  PriorityAdmission& admission(const ServiceName& service) { return admissions_[service]; }
  CustomerRetryBudget& retry_budget(const ServiceName& service);
  ReturnSchedule& return_schedule(const ServiceName& service) { return return_schedules_[service]; }
  WeightedServicePicker& service_picker() { return service_picker_; }
  CrashGuard& crash_guard() { return crash_guard_; }
  Random& random() { return random_; }
  LineLog& log() { return *log_; }
  GatewayMetrics& metrics() { return *metrics_; }

  // ---- requests ----

  bool ShouldStreamBody(const RequestHead& head) override;
  std::size_t MaxHeldBodyBytes(const RequestHead& head) override;
  bool WillReject(const RequestHead& head) override;
  // Only calls that may be repeated, without large responses, are served ahead of their turn: the
  // caller sends them again if an earlier response ends the connection.
  bool MayServeAhead(const RequestHead& head) override;
  void OnRequest(HttpServerExchange* stream, RequestHead* head, std::string body) override;
  void OnBodyPiece(HttpServerExchange* stream, const std::string& piece, bool last) override;
  void OnBodyError(HttpServerExchange* stream, int status) override;
  void OnCallerDisconnected(HttpServerExchange* stream) override;
  void OnCallerWritable(HttpServerExchange* stream) override;

  // Interval of maintenance with and without calls in progress, and of probes for room while calls
  // are queued. The idle interval is longer since each wake-up is billed and most instances of a
  // large fleet have no calls.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  static constexpr Duration kIdleTickInterval = std::chrono::milliseconds(500);
  static constexpr Duration kRoomProbeInterval = std::chrono::milliseconds(25);
  // Bodies of uploads and of other calls are sent on while they arrive above these sizes. Those of
  // other calls are usually complete before, so that a caller that stalls occupies no upstream.
  static constexpr std::size_t kMaxHeldUploadBytes = std::size_t{64} * 1024;
  static constexpr std::size_t kMaxHeldBodyBytes = std::size_t{960} * 1024;
  // Ended calls that may wait for the next tick; thousands that end in one turn took 450 MB.
  static constexpr std::size_t kMaxReleasedCalls = 32;
  // Maximum time from a lost connection until the upstream is found to refuse connections, for the
  // crash to be attributed to the request.
  static constexpr Duration kCrashWindow = std::chrono::seconds(2);
  // A customer's refusals by its quota are logged this often, with their number.
  static constexpr Duration kQuotaLogInterval = std::chrono::seconds(10);

 private:
  struct SuspectedCrash {
    std::uint64_t fingerprint = 0;
    Instant recorded_at;
  };

  void ApplyCustomers(Instant now);
  // Refusals of one customer that have not been logged.
  struct QuotaRefusals {
    std::uint64_t count = 0;
    Instant logged_at;
  };

  void LogQuotaRefusal(const Customer& customer, Duration retry_after, Instant now);
  void Tick();
  // Logs evictions since the last call, and counts them.
  void ReportEvictions(Instant now);
  void Wake();
  void StartAllWaitingCalls();
  void LogShortages(Instant now);
  void ProbePossiblyFree(const ServiceName& service, Instant now);

  EventLoop* const loop_;
  const Options options_;
  LineLog* const log_;
  GatewayMetrics* const metrics_;
  std::shared_ptr<const ServingState> state_;
  Instant last_contact_;
  std::uint64_t calls_received_ = 0;
  std::uint64_t response_bytes_ = 0;
  Random random_;
  LoadBalancer balancer_;
  UpstreamConnectionPool pool_;
  WeightedServicePicker service_picker_;
  CrashGuard crash_guard_;
  FleetQuota quota_;
  std::map<CustomerName, QuotaRefusals> quota_refusals_;
  std::map<ServiceName, AdmissionQueue> queues_;
  std::map<ServiceName, PriorityAdmission> admissions_;
  std::map<ServiceName, CustomerRetryBudget> retry_budgets_;
  std::map<ServiceName, ReturnSchedule> return_schedules_;
  std::map<UpstreamId, std::vector<SuspectedCrash>> suspected_crashes_;
  std::unordered_map<HttpServerExchange*, std::unique_ptr<RoutedCall>> calls_;
  // Ended calls whose functions may still be on the stack; destroyed at the next tick, or in the
  // next turn of the loop if there are many.
  std::vector<std::unique_ptr<RoutedCall>> released_calls_;
  std::unique_ptr<UpstreamProber> prober_;
  HttpPort port_;
  Timer tick_timer_;
  NextTurn release_turn_;
  Timer room_probe_timer_;
  bool probing_for_room_ = false;
  bool is_admitting_ = true;
  std::function<void()> on_wake_ = [] {};
  std::uint64_t rejected_connections_logged_ = 0;
  // Evictions reported so far.
  std::uint64_t evicted_for_memory_logged_ = 0;
  std::uint64_t evicted_for_connections_logged_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_GATEWAY_H_
