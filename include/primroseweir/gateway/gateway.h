#ifndef PRIMROSEWEIR_GATEWAY_GATEWAY_H_
#define PRIMROSEWEIR_GATEWAY_GATEWAY_H_

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "primroseweir/balance/admission_queue.h"
#include "primroseweir/balance/load_balancer.h"
#include "primroseweir/balance/windowed_retry_budget.h"
#include "primroseweir/base/ids.h"
#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"
#include "primroseweir/gateway/call_header_names.h"
#include "primroseweir/gateway/serving_state.h"
#include "primroseweir/gateway/upstream_connection_pool.h"
#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/timer.h"
#include "primroseweir/routes/weighted_service_picker.h"

namespace primroseweir {

class EventLoop;
class GatewayMetrics;
class LineLog;
class RoutedCall;
class UpstreamProber;

// The path of calls through one instance: a port for callers, the routes, the balance over the
// upstreams and the calls under way. Belongs to the thread of its event loop.
class Gateway : public RequestSink {
 public:
  struct Options {
    SocketAddress callers;
    CallHeaderNames fields;
    LoadBalancer::Options balancer;
    WindowedRetryBudget::Limits retries;
    // Longest time of a streamed answer: an upstream may send without end.
    Duration max_stream_duration = std::chrono::minutes(10);
    std::uint64_t seed = 0;
  };

  // `log` and `metrics` outlive the gateway.
  Gateway(EventLoop* loop, const Options& options, LineLog* log, GatewayMetrics* metrics);
  ~Gateway() override;

  // Binds the callers' port. Errors: Unavailable.
  absl::Status Listen();

  // ---- state ----

  // Puts a published state in force at once, for all calls that are not yet placed.
  void Apply(std::shared_ptr<const ServingState> state, Instant now);
  // The platform or a peer confirmed that the state is current.
  void RecordContact(Instant now) { last_contact_ = now; }
  bool configured() const { return state_->routes != nullptr; }

  // ---- stop ----

  // Calls that arrive from now on are refused; those under way go on.
  void StopAdmitting() { is_admitting_ = false; }
  bool is_admitting() const { return is_admitting_; }
  // Connections close after their present answer from now on.
  void Drain(Instant now) { port_.Drain(now); }
  // Accepts no further connections.
  void StopAccepting() { port_.StopAccepting(); }
  std::size_t calls() const { return calls_.size(); }
  // Whether a caller still waits for the rest of its answer or sends its request.
  bool busy(Instant now) const { return !calls_.empty() || port_.busy(now); }
  // Bytes of requests that are held in memory.
  std::int64_t buffered_bytes() const { return port_.buffered(); }
  // `listener` hears of each call that arrives while none is under way.
  void SetWakeListener(std::function<void()> listener) { on_wake_ = std::move(listener); }
  // Calls that arrived and bytes of answers so far.
  std::uint64_t calls_received() const { return calls_received_; }
  std::uint64_t response_bytes() const { return response_bytes_; }
  void CountResponseBytes(std::size_t bytes) { response_bytes_ += bytes; }
  SocketAddress address() const { return port_.address(); }

  // ---- for calls ----

  // Ends the call's registration; it is destroyed after the present event.
  void Release(RoutedCall* call);
  // Offers the service's room to the calls that wait for it.
  void OfferRoom(const ServiceName& service, Instant now);
  // Probes upstreams that may have room for the calls that wait, now and while any wait.
  void ProbeForRoom(const ServiceName& service, Instant now);
  // A probe brought news of an upstream of the service.
  void OnReport(const ServiceName& service, Instant now);
  UpstreamProber& prober() { return *prober_; }
  // An upstream broke a connection while it ran the request with that fingerprint.
  void RecordSuspectedCrash(const UpstreamId& upstream, std::uint64_t fingerprint, Instant now);
  // A doubted upstream refused connections: what it ran when it broke may have crashed it.
  void ConfirmCrash(const UpstreamId& upstream, Instant now);
  void ClearSuspectedCrashes(const UpstreamId& upstream) { suspected_crashes_.erase(upstream); }
  // Whether the calls of all callers hold more memory than they may together.
  bool IsOverMemoryLimit() const { return port_.IsOverMemoryLimit(); }
  void CountResponse(const Route& route, Duration latency);
  void CountLocalReply(int status);

  EventLoop* loop() const { return loop_; }
  const CallHeaderNames& fields() const { return options_.fields; }
  Duration max_stream_duration() const { return options_.max_stream_duration; }
  const ServingState& state() const { return *state_; }
  Instant last_contact() const { return last_contact_; }
  LoadBalancer& balancer() { return balancer_; }
  UpstreamConnectionPool& pool() { return pool_; }
  AdmissionQueue& queue(const ServiceName& service) { return queues_[service]; }
  WindowedRetryBudget& retry_budget(const ServiceName& service);
  WeightedServicePicker& service_picker() { return service_picker_; }
  CrashGuard& crash_guard() { return crash_guard_; }
  Random& random() { return random_; }
  LineLog& log() { return *log_; }
  GatewayMetrics& metrics() { return *metrics_; }

  // ---- requests ----

  bool ShouldStreamBody(const RequestHead& head) override;
  void OnRequest(HttpServerStream* stream, RequestHead* head, std::string body) override;
  void OnBodyPiece(HttpServerStream* stream, const std::string& piece, bool last) override;
  void OnBodyError(HttpServerStream* stream, int status) override;
  void OnCallerDisconnected(HttpServerStream* stream) override;
  void OnCallerWritable(HttpServerStream* stream) override;

  // Upkeep with and without calls under way, and how often room is sought while calls wait. Each
  // wake-up is charged, and most instances of a large fleet have no calls.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);
  static constexpr Duration kIdleTickInterval = std::chrono::milliseconds(500);
  static constexpr Duration kRoomProbeInterval = std::chrono::milliseconds(25);
  // A crash must show this soon after the broken connection to be put down to the request.
  static constexpr Duration kCrashWindow = std::chrono::seconds(2);

 private:
  struct SuspectedCrash {
    std::uint64_t fingerprint = 0;
    Instant since;
  };

  void Tick();
  void Wake();
  void OfferAll();
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
  std::map<ServiceName, AdmissionQueue> queues_;
  std::map<ServiceName, WindowedRetryBudget> retry_budgets_;
  std::map<UpstreamId, std::vector<SuspectedCrash>> suspected_crashes_;
  std::unordered_map<HttpServerStream*, std::unique_ptr<RoutedCall>> calls_;
  // Ended calls that may still be on the stack.
  std::vector<std::unique_ptr<RoutedCall>> released_;
  std::unique_ptr<UpstreamProber> prober_;
  HttpPort port_;
  Timer tick_;
  Timer room_probe_timer_;
  bool probing_for_room_ = false;
  bool is_admitting_ = true;
  std::function<void()> on_wake_ = [] {};
  std::uint64_t rejected_connections_logged_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_GATEWAY_H_
