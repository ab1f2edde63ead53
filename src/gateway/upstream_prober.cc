#include "primroseweir/gateway/upstream_prober.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>

#include "primroseweir/balance/balanced_upstream.h"
#include "primroseweir/base/line_log.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/gateway/load_field.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_client_stream.h"
#include "primroseweir/routes/route_table.h"

namespace primroseweir {
namespace {

constexpr int kOk = 200;
constexpr int kDecimalBase = 10;

// Returns the warm-up time that a probe's response states in milliseconds, limited to
// kMaxWarmUpTime; zero for text that is not a positive number.
Duration ParseWarmUpLeft(const std::string& text) {
  const std::int64_t milliseconds = std::strtoll(text.c_str(), nullptr, kDecimalBase);
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(milliseconds, 0, ToMilliseconds(kMaxWarmUpTime)));
}

}  // namespace

// Sends the probes of one upstream and handles their responses.
class UpstreamProber::Connection : public HttpClientCallbacks {
 public:
  Connection(Gateway* gateway, std::shared_ptr<BalancedUpstream> upstream)
      : gateway_(gateway), upstream_(std::move(upstream)) {}

  const BalancedUpstream* upstream() const { return upstream_.get(); }
  bool is_busy() const { return is_busy_; }
  Instant started_at() const { return started_at_; }
  bool IsIdle(Instant now) const { return !is_busy_ && now - started_at_ > kMaxIdleTime; }

  void Probe(const std::string& target, Instant now) {
    is_busy_ = true;
    started_at_ = now;
    stream_ = gateway_->pool().Acquire(upstream_, ConnectionReuse::kAny, now);
    is_new_connection_ = !stream_->is_connected();
    RequestHead head;
    head.target = target;
    head.fields.Add("Host", upstream_->record().address.ToString());
    gateway_->metrics().CountEvent("probe");
    // The probe carries no request id, so a late response to an earlier call on this connection,
    // which echoes one, is not taken for the response to the probe.
    stream_->Send(head, std::string(), {gateway_->fields().request_id, std::string()}, this);
  }

  // Handles a probe without a response after kProbeTimeout.
  void OnTimeout(Instant now) {
    is_busy_ = false;
    stream_.reset();
    // A reused connection may itself have become unresponsive; only a new one shows that the
    // upstream is unresponsive.
    if (is_new_connection_) {
      upstream_->MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, now);
    }
  }

  void OnResponse(ResponseHead* head, std::string /*piece*/, bool is_complete) override {
    if (!is_complete) {
      return;
    }
    is_busy_ = false;
    const auto now = EventLoop::Now();
    const auto& fields = gateway_->fields();
    const auto responder = head->fields.Get(fields.upstream_id);
    const bool is_other_upstream =
        !responder.empty() && responder != upstream_->record().id.value();
    if (is_other_upstream) {
      upstream_->SetMisdirected();
      LogResponse("misdirected", responder, *head, now);
      return;
    }
    upstream_->RecordProbeResponse();
    gateway_->RecordStatements(upstream_.get(), *head, now);
    const auto warm_up_left = ParseWarmUpLeft(head->fields.Get(fields.warm_up_left));
    if (const auto load = ParseLoadField(head->fields.Get(fields.load))) {
      upstream_->RecordReport(*load, BalancedUpstream::ReportSource::kProbe, now);
    }
    HandleProbeResponse(head->status == kOk, warm_up_left, *head, now);
    // The connection has just been shown to work, so the call that follows the probe reuses it.
    // This may destroy `head`.
    gateway_->pool().Return(upstream_, std::move(stream_));
    gateway_->OnProbeCompleted(upstream_->record().service, now);
  }

  void OnFailure(Failure failure) override {
    is_busy_ = false;
    const auto now = EventLoop::Now();
    // A reused connection may have been closed while idle, which says nothing about the upstream.
    if (is_new_connection_) {
      upstream_->MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, now);
    }
    if (failure == Failure::kConnect) {
      gateway_->ConfirmCrash(upstream_->record().id, now);
    }
    gateway_->OnProbeCompleted(upstream_->record().service, now);
  }

 private:
  void HandleProbeResponse(bool is_healthy, Duration warm_up_left, const ResponseHead& head,
                           Instant now) {
    const bool was_suspect = upstream_->is_suspect();
    const bool was_cold = upstream_->is_cold(now);
    if (is_healthy) {
      gateway_->balancer().ClearSuspect(upstream_.get(), warm_up_left, now);
      gateway_->ClearSuspectedCrashes(upstream_->record().id);
    } else if (was_suspect) {
      upstream_->RecordUnhealthyProbe();
    }
    if (was_suspect || was_cold != upstream_->is_cold(now)) {
      LogResponse(upstream_->is_suspect()   ? "doubted"
                  : upstream_->is_cold(now) ? "cold"
                                            : "trusted",
                  upstream_->record().id.value(), head, now);
    }
  }

  void LogResponse(const char* outcome, const std::string& responder, const ResponseHead& head,
                   Instant now) {
    const auto warm_up_left = head.fields.Get(gateway_->fields().warm_up_left);
    gateway_->log().Write("probe_answered",
                          {{"upstream", upstream_->record().id.value()},
                           {"answered_by", responder},
                           {"status", std::to_string(head.status)},
                           {"warm_up_ms", warm_up_left},
                           {"outcome", outcome}},
                          now);
  }

  Gateway* const gateway_;
  const std::shared_ptr<BalancedUpstream> upstream_;
  std::unique_ptr<HttpClientStream> stream_;
  bool is_busy_ = false;
  bool is_new_connection_ = false;
  Instant started_at_;
};

UpstreamProber::UpstreamProber(Gateway* gateway) : gateway_(gateway) {}
UpstreamProber::~UpstreamProber() = default;

bool UpstreamProber::Probe(const std::shared_ptr<BalancedUpstream>& upstream, Instant now) {
  const auto& routes = gateway_->state().routes;
  const auto* service_settings =
      routes == nullptr ? nullptr : routes->FindService(upstream->record().service);
  if (service_settings == nullptr || service_settings->probe_target.empty()) {
    return false;
  }
  auto& connection = connections_[upstream->record().id];
  if (connection == nullptr || connection->upstream() != upstream.get()) {
    connection = std::make_unique<Connection>(gateway_, upstream);
  }
  if (!connection->is_busy()) {
    connection->Probe(service_settings->probe_target, now);
  }
  return true;
}

bool UpstreamProber::ProbeOrClearSuspect(const std::shared_ptr<BalancedUpstream>& upstream,
                                         Instant now) {
  if (Probe(upstream, now)) {
    return true;
  }
  if (upstream->is_suspect()) {
    // The upstream can't be probed, so only the next call can show whether it works.
    gateway_->balancer().ClearSuspect(upstream.get(), Duration::zero(), now);
  }
  return false;
}

void UpstreamProber::Tick(Instant now) {
  for (auto it = connections_.begin(); it != connections_.end();) {
    auto& connection = *it->second;
    if (connection.is_busy() && now - connection.started_at() > kProbeTimeout) {
      connection.OnTimeout(now);
    }
    it = connection.IsIdle(now) ? connections_.erase(it) : std::next(it);
  }
  for (auto& upstream : gateway_->balancer().DueProbes(now)) {
    ProbeOrClearSuspect(upstream, now);
  }
}

}  // namespace primroseweir
