#include "primroseweir/gateway/gateway.h"

#include <utility>

#include "primroseweir/base/line_log.h"
#include "primroseweir/gateway/caller_identity.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/gateway/routed_call.h"
#include "primroseweir/gateway/upstream_prober.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_server_exchange.h"
#include "primroseweir/routes/route_table.h"

namespace primroseweir {
namespace {

constexpr int kUnavailable = 503;
// Value of CallHeaderNames::leaving.
constexpr char kLeavingValue[] = "1";

}  // namespace

Gateway::Gateway(EventLoop* loop, const Options& options, LineLog* log, GatewayMetrics* metrics)
    : loop_(loop),
      options_(options),
      log_(log),
      metrics_(metrics),
      state_(std::make_shared<const ServingState>()),
      random_(options.random_seed),
      balancer_(options.balancer),
      pool_(loop),
      service_picker_(options.random_seed + 1),
      prober_(std::make_unique<UpstreamProber>(this)),
      port_(
          loop, this,
          [this] { return state_->routes == nullptr ? CallerLimits() : state_->routes->limits(); }),
      tick_timer_(loop, [this] { Tick(); }),
      room_probe_timer_(loop, [this] { StartAllWaitingCalls(); }) {}

Gateway::~Gateway() {
  // Calls use the other members, so they are destroyed first.
  calls_.clear();
  released_calls_.clear();
}

absl::Status Gateway::Listen() {
  tick_timer_.Start(kTickInterval);
  return port_.Listen(options_.caller_address);
}

// ---- state ----

void Gateway::Apply(std::shared_ptr<const ServingState> state, Instant now) {
  state_ = std::move(state);
  if (state_->routes == nullptr) {
    return;
  }
  balancer_.Apply(state_->upstreams, state_->data_centres_out, *state_->routes, now);
  std::vector<ServiceName> waiting_services;
  for (const auto& [service, queue] : queues_) {
    if (!queue.empty()) {
      waiting_services.push_back(service);
    }
  }
  for (const auto& service : waiting_services) {
    StartWaitingCalls(service, now);
  }
}

WindowedRetryBudget& Gateway::retry_budget(const ServiceName& service) {
  return retry_budgets_.try_emplace(service, options_.retry_budget).first->second;
}

// ---- for calls ----

void Gateway::Release(RoutedCall* call) {
  const auto found = calls_.find(call->caller());
  if (found == calls_.end() || found->second.get() != call) {
    return;
  }
  released_calls_.push_back(std::move(found->second));
  calls_.erase(found);
  call->Stop();
  StartWaitingCalls(call->service(), EventLoop::Now());
}

void Gateway::StartWaitingCalls(const ServiceName& service, Instant now) {
  const auto found = queues_.find(service);
  if (found != queues_.end() && !found->second.empty()) {
    found->second.StartWaitingCalls(now);
  }
}

void Gateway::ProbeForRoom(const ServiceName& service, Instant now) {
  prober_->Tick(now);
  ProbePossiblyFree(service, now);
  if (!std::exchange(probing_for_room_, true)) {
    room_probe_timer_.Start(kRoomProbeInterval);
  }
}

void Gateway::ProbePossiblyFree(const ServiceName& service, Instant now) {
  for (const auto& upstream : balancer_.PossiblyFreeUpstreams(service, now)) {
    prober_->Probe(upstream, now);
  }
}

void Gateway::OnProbeCompleted(const ServiceName& service, Instant now) {
  std::vector<RoutedCall*> probing_calls;
  for (const auto& [stream, call] : calls_) {
    if (call->is_probing() && call->service() == service) {
      probing_calls.push_back(call.get());
    }
  }
  for (auto* call : probing_calls) {
    call->OnProbeCompleted(now);
  }
  StartWaitingCalls(service, now);
}

void Gateway::RecordStatements(BalancedUpstream* upstream, const ResponseHead& head, Instant now) {
  const auto& id = upstream->record().id;
  if (head.fields.Get(options_.fields.leaving) == kLeavingValue && !upstream->is_leaving()) {
    balancer_.SetLeaving(upstream, now);
    pool_.CloseIdle(id);
    metrics_->CountEvent("upstream_leaving");
    log_->Write("upstream_leaving",
                {{"upstream", id.value()},
                 {"service", upstream->record().service.value()},
                 {"usable", std::to_string(balancer_.CountUsable(upstream->record().service))}},
                now);
  }
  if (head.status != kUnavailable) {
    return;
  }
  if (const auto pause = UpstreamPause::ParseDuration(head.fields.Get("Retry-After"))) {
    upstream->pause().Start(*pause, now);
    metrics_->CountEvent("upstream_pause");
    log_->Write("upstream_paused",
                {{"upstream", id.value()}, {"ms", std::to_string(ToMilliseconds(*pause))}}, now);
  }
}

void Gateway::RecordSuspectedCrash(const UpstreamId& upstream, std::uint64_t fingerprint,
                                   Instant now) {
  suspected_crashes_[upstream].push_back({fingerprint, now});
}

void Gateway::ConfirmCrash(const UpstreamId& upstream, Instant now) {
  const auto found = suspected_crashes_.find(upstream);
  if (found == suspected_crashes_.end()) {
    return;
  }
  for (const auto& suspected_crash : found->second) {
    if (now - suspected_crash.recorded_at < kCrashWindow) {
      crash_guard_.AddStrike(suspected_crash.fingerprint, upstream, now);
    }
  }
  suspected_crashes_.erase(found);
}

void Gateway::CountResponse(const Route& route, Duration latency) {
  metrics_->CountResponse(route.prefix, latency);
}

void Gateway::CountLocalReply(int status) { metrics_->CountLocalReply(status); }

// ---- requests ----

bool Gateway::ShouldStreamBody(const RequestHead& head) {
  const auto* route = state_->routes == nullptr
                          ? nullptr
                          : state_->routes->Find(head.fields.Get("Host"), head.target);
  return route != nullptr && route->kind == CallKind::kUpload;
}

bool Gateway::WillReject(const RequestHead& head) {
  if (!is_admitting_ || state_->routes == nullptr) {
    return true;
  }
  const auto* route = state_->routes->Find(head.fields.Get("Host"), head.target);
  return route == nullptr ||
         !CallerIdentity::Of(head.fields, *route, state_->routes->customers(), options_.fields)
              .is_allowed();
}

bool Gateway::MayServeAhead(const RequestHead& head) {
  const auto* route = state_->routes == nullptr
                          ? nullptr
                          : state_->routes->Find(head.fields.Get("Host"), head.target);
  return is_admitting_ && route != nullptr && route->kind == CallKind::kIdempotent;
}

void Gateway::OnBodyPiece(HttpServerExchange* stream, const std::string& piece, bool last) {
  const auto found = calls_.find(stream);
  if (found != calls_.end()) {
    found->second->OnBodyPiece(piece, last);
  }
}

void Gateway::OnBodyError(HttpServerExchange* stream, int status) {
  const auto found = calls_.find(stream);
  if (found != calls_.end()) {
    found->second->OnBodyError(status, EventLoop::Now());
  }
}

void Gateway::OnRequest(HttpServerExchange* stream, RequestHead* head, std::string body) {
  const auto now = EventLoop::Now();
  ++calls_received_;
  if (calls_.empty()) {
    Wake();
  }
  auto call = std::make_unique<RoutedCall>(this, stream, *head, std::move(body), now);
  auto* new_call = call.get();
  calls_[stream] = std::move(call);
  new_call->Start(now);
}

void Gateway::OnCallerDisconnected(HttpServerExchange* stream) {
  const auto found = calls_.find(stream);
  if (found != calls_.end()) {
    found->second->OnCallerDisconnected(EventLoop::Now());
  }
}

void Gateway::OnCallerWritable(HttpServerExchange* stream) {
  const auto found = calls_.find(stream);
  if (found != calls_.end()) {
    found->second->OnCallerWritable();
  }
}

// ---- maintenance ----

void Gateway::Tick() {
  const auto now = EventLoop::Now();
  released_calls_.clear();
  pool_.CloseExpired(now);
  prober_->Tick(now);
  LogShortages(now);
  if (port_.rejected_connections() != rejected_connections_logged_) {
    log_->Write(
        "connections_refused",
        {{"count", std::to_string(port_.rejected_connections() - rejected_connections_logged_)},
         {"connections", std::to_string(port_.connection_count())}},
        now);
    rejected_connections_logged_ = port_.rejected_connections();
  }
  tick_timer_.Start(calls_.empty() ? kIdleTickInterval : kTickInterval);
}

void Gateway::LogShortages(Instant now) {
  for (auto& [service, admission] : admissions_) {
    if (const auto is_short = admission.TakeChange(now)) {
      log_->Write("service_short",
                  {{"service", service.value()},
                   {"outcome", *is_short ? "began" : "ended"},
                   {"waiting", std::to_string(queues_[service].size())}},
                  now);
    }
  }
}

void Gateway::Wake() {
  tick_timer_.Start(kTickInterval);
  on_wake_();
}

// Offers room periodically, since paced and suspect upstreams become available with time alone, and
// probes upstreams whose room only a probe can show.
void Gateway::StartAllWaitingCalls() {
  const auto now = EventLoop::Now();
  bool has_waiting_calls = false;
  for (auto& [service, queue] : queues_) {
    if (!queue.empty()) {
      queue.StartWaitingCalls(now);
    }
    if (!queue.empty()) {
      has_waiting_calls = true;
      ProbePossiblyFree(service, now);
    }
  }
  probing_for_room_ = has_waiting_calls;
  if (has_waiting_calls) {
    room_probe_timer_.Start(kRoomProbeInterval);
  }
}

}  // namespace primroseweir
