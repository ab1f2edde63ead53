#include "primroseweir/gateway/gateway.h"

#include <chrono>
#include <iterator>
#include <string>
#include <utility>

#include "primroseweir/base/line_log.h"
#include "primroseweir/customers/customer.h"
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
constexpr double kPercent = 100;
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
      quota_(options.random_seed + 2),
      prober_(std::make_unique<UpstreamProber>(this)),
      port_(
          loop, this,
          [this] { return state_->routes == nullptr ? CallerLimits() : state_->routes->limits(); }),
      tick_timer_(loop, [this] { Tick(); }),
      release_turn_(loop, [this] { released_calls_.clear(); }),
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
  const bool have_routes_changed = state_->routes != state->routes;
  state_ = std::move(state);
  if (state_->routes == nullptr) {
    return;
  }
  quota_.Apply(state_->routes->customers(), now);
  balancer_.Apply(state_->upstreams, state_->data_centres_out, *state_->routes, now);
  if (have_routes_changed) {
    ApplyCustomers(now);
  }
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

// Ends waiting calls whose keys were withdrawn, and the counters of customers that were removed.
void Gateway::ApplyCustomers(Instant now) {
  const auto* customers = state_->routes->customers();
  metrics_->KeepCustomers(customers);
  for (auto it = quota_refusals_.begin(); it != quota_refusals_.end();) {
    const bool is_kept =
        customers != nullptr && customers->FindByName(it->first.value()) != nullptr;
    it = is_kept ? std::next(it) : quota_refusals_.erase(it);
  }
  if (state_->routes->customers() == nullptr) {
    return;
  }
  std::vector<RoutedCall*> calls;
  for (const auto& [stream, call] : calls_) {
    calls.push_back(call.get());
  }
  // Ending one call may start or end others; released calls stay valid until the next tick.
  for (auto* call : calls) {
    call->CheckWhileWaiting(now);
  }
}

CustomerRetryBudget& Gateway::retry_budget(const ServiceName& service) {
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
  if (released_calls_.size() == kMaxReleasedCalls) {
    release_turn_.Start();
  }
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
    // An earlier call of the list may have ended this one or started it.
    if (call->is_probing()) {
      call->OnProbeCompleted(now);
    }
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

void Gateway::CountCustomerCall(const CustomerName& customer, std::string_view outcome) {
  metrics_->CountCustomerCall(customer, outcome);
}

void Gateway::CountLocalReply(int status) { metrics_->CountLocalReply(status); }

FleetQuota::Decision Gateway::TryAcquireQuota(const Customer& customer, std::uint64_t request,
                                              Instant now) {
  const auto decision = quota_.TryAcquire(customer, request, now);
  if (customer.has_quota()) {
    metrics_->CountQuota(customer.name.value(), decision.admitted
                                                    ? GatewayMetrics::QuotaEvent::kAdmitted
                                                    : GatewayMetrics::QuotaEvent::kRefused);
  }
  if (!decision.admitted) {
    LogQuotaRefusal(customer, decision.retry_after, now);
  }
  return decision;
}

void Gateway::RefundQuota(const Customer& customer, Instant now) {
  quota_.Refund(customer, now);
  metrics_->CountQuota(customer.name.value(), GatewayMetrics::QuotaEvent::kRefunded);
}

void Gateway::LogQuotaRefusal(const Customer& customer, Duration retry_after, Instant now) {
  auto& refusals = quota_refusals_[customer.name];
  ++refusals.count;
  if (refusals.logged_at != Instant() && now - refusals.logged_at < kQuotaLogInterval) {
    return;
  }
  log_->Write(
      "quota_refused",
      {{"customer", customer.name.value()},
       {"count", std::to_string(refusals.count)},
       {"retry_after_ms", std::to_string(ToMilliseconds(retry_after))},
       {"usable_percent", std::to_string(static_cast<int>(quota_.usable_share(now) * kPercent))}},
      now);
  refusals = {0, now};
}

// ---- requests ----

bool Gateway::ShouldStreamBody(const RequestHead& head) {
  return state_->routes != nullptr &&
         state_->routes->Find(head.fields.Get("Host"), head.target) != nullptr;
}

std::size_t Gateway::MaxHeldBodyBytes(const RequestHead& head) {
  const auto* route = state_->routes == nullptr
                          ? nullptr
                          : state_->routes->Find(head.fields.Get("Host"), head.target);
  return route != nullptr && route->kind == CallKind::kUpload ? kMaxHeldUploadBytes
                                                              : kMaxHeldBodyBytes;
}

bool Gateway::IsShortOfMemory() const { return loop_->connections().memory().is_short(); }

bool Gateway::WillReject(const RequestHead& head) {
  if (!is_admitting_ || state_->routes == nullptr) {
    return true;
  }
  const auto* route = state_->routes->Find(head.fields.Get("Host"), head.target);
  return route == nullptr ||
         !CallerIdentity::Of(head, *route, *state_->routes, options_.fields).is_allowed();
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
  ReportEvictions(now);
  tick_timer_.Start(calls_.empty() ? kIdleTickInterval : kTickInterval);
}

void Gateway::ReportEvictions(Instant now) {
  const auto& connections = loop_->connections();
  const auto report = [&](const char* shortage, std::uint64_t total, std::uint64_t* logged) {
    const auto count = total - std::exchange(*logged, total);
    if (count == 0) {
      return;
    }
    metrics_->CountEvent(std::string("evicted_for_") + shortage, static_cast<double>(count));
    log_->Write("connections_evicted",
                {{"shortage", shortage},
                 {"count", std::to_string(count)},
                 {"connections", std::to_string(connections.size())},
                 {"held_kb", std::to_string(connections.memory().held_bytes() / 1024)},
                 {"budget_kb", std::to_string(connections.memory().budget_bytes() / 1024)}},
                now);
  };
  report("memory", connections.evicted_for_memory(), &evicted_for_memory_logged_);
  report("connections", connections.evicted_for_connections(), &evicted_for_connections_logged_);
}

void Gateway::UpdateGauges() {
  const auto& connections = loop_->connections();
  metrics_->SetGauge("peer_memory_bytes", static_cast<double>(connections.memory().held_bytes()));
  metrics_->SetGauge("peer_memory_peak_bytes",
                     static_cast<double>(connections.memory().peak_bytes()));
  metrics_->SetGauge("peer_memory_budget_bytes",
                     static_cast<double>(connections.memory().budget_bytes()));
  metrics_->SetGauge("caller_connections", static_cast<double>(connections.size()));
  metrics_->SetGauge("calls", static_cast<double>(calls_.size()));
  metrics_->SetGauge("longest_turn_seconds",
                     std::chrono::duration<double>(loop_->TakeLongestTurn()).count());
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
