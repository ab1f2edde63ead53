#include "primroseweir/gateway/upstream_prober.h"

#include <chrono>
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

}  // namespace

// The probes of one upstream.
class UpstreamProber::Connection : public HttpClientListener {
 public:
  Connection(Gateway* gateway, std::shared_ptr<BalancedUpstream> upstream)
      : gateway_(gateway), upstream_(std::move(upstream)) {}

  const BalancedUpstream* upstream() const { return upstream_.get(); }
  bool busy() const { return busy_; }
  Instant started() const { return started_; }
  bool Idle(Instant now) const { return !busy_ && now - started_ > kMaxIdleTime; }

  void Probe(const std::string& target, Instant now) {
    busy_ = true;
    started_ = now;
    stream_ = gateway_->pool().Acquire(upstream_, false, now);
    fresh_stream_ = !stream_->is_connected();
    RequestHead head;
    head.target = target;
    head.fields.Add("Host", upstream_->record().address.ToString());
    gateway_->metrics().CountEvent("probe");
    // A late answer to an earlier call on this connection is not the probe's.
    stream_->Send(head, std::string(), {gateway_->fields().request_id, std::string()}, this);
  }

  // The upstream did not answer in time.
  void GiveUp(Instant now) {
    busy_ = false;
    stream_.reset();
    // A kept connection may have gone silent; a new one that is silent too tells of the upstream.
    if (fresh_stream_) {
      upstream_->MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, now);
    }
  }

  void OnResponse(ResponseHead* head, std::string /*piece*/, bool is_complete) override {
    if (!is_complete) {
      return;
    }
    busy_ = false;
    const auto now = EventLoop::Now();
    const auto& fields = gateway_->fields();
    const auto answered_by = head->fields.Get(fields.upstream_id);
    const bool other = !answered_by.empty() && answered_by != upstream_->record().id.value();
    if (other) {
      upstream_->SetMisdirected();
      Log("misdirected", answered_by, *head, now);
      return;
    }
    upstream_->RecordProbeAnswered();
    const auto warm_up =
        std::chrono::milliseconds(std::atoll(head->fields.Get(fields.warm_up_left).c_str()));
    if (const auto load = ParseLoad(head->fields.Get(fields.load))) {
      upstream_->RecordReport(*load, BalancedUpstream::ReportSource::kProbe, now);
    }
    HandleProbeResponse(head->status == kOk, warm_up, *head, now);
    // The connection has just proved that it works: the call that follows the probe takes it. This
    // may destroy `head`.
    gateway_->pool().Return(upstream_, std::move(stream_));
    gateway_->OnReport(upstream_->record().service, now);
  }

  void OnFailure(Failure failure) override {
    busy_ = false;
    const auto now = EventLoop::Now();
    // A kept connection may have been closed meanwhile, which tells nothing.
    if (fresh_stream_) {
      upstream_->MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, now);
    }
    if (failure == Failure::kConnect) {
      gateway_->ConfirmCrash(upstream_->record().id, now);
    }
    gateway_->OnReport(upstream_->record().service, now);
  }

 private:
  void HandleProbeResponse(bool healthy, Duration warm_up, const ResponseHead& head, Instant now) {
    const bool was_suspect = upstream_->is_suspect();
    const bool was_cold = upstream_->is_cold(now);
    if (healthy) {
      gateway_->balancer().ClearSuspect(upstream_.get(), warm_up, now);
      gateway_->ClearSuspectedCrashes(upstream_->record().id);
    } else if (was_suspect) {
      upstream_->RecordUnhealthyProbe();
    }
    if (was_suspect || was_cold != upstream_->is_cold(now)) {
      Log(upstream_->is_suspect()   ? "doubted"
          : upstream_->is_cold(now) ? "cold"
                                    : "trusted",
          upstream_->record().id.value(), head, now);
    }
  }

  void Log(const char* outcome, const std::string& answered_by, const ResponseHead& head,
           Instant now) {
    const auto warm_up = head.fields.Get(gateway_->fields().warm_up_left);
    gateway_->log().Write("probe_answered",
                          {{"upstream", upstream_->record().id.value()},
                           {"answered_by", answered_by},
                           {"status", std::to_string(head.status)},
                           {"warm_up_ms", warm_up},
                           {"outcome", outcome}},
                          now);
  }

  Gateway* const gateway_;
  const std::shared_ptr<BalancedUpstream> upstream_;
  std::unique_ptr<HttpClientStream> stream_;
  bool busy_ = false;
  bool fresh_stream_ = false;
  Instant started_;
};

UpstreamProber::UpstreamProber(Gateway* gateway) : gateway_(gateway) {}
UpstreamProber::~UpstreamProber() = default;

bool UpstreamProber::Probe(const std::shared_ptr<BalancedUpstream>& upstream, Instant now) {
  const auto& routes = gateway_->state().routes;
  const auto* terms = routes == nullptr ? nullptr : routes->FindService(upstream->record().service);
  if (terms == nullptr || terms->probe.empty()) {
    return false;
  }
  auto& line = connections_[upstream->record().id];
  if (line == nullptr || line->upstream() != upstream.get()) {
    line = std::make_unique<Connection>(gateway_, upstream);
  }
  if (!line->busy()) {
    line->Probe(terms->probe, now);
  }
  return true;
}

bool UpstreamProber::ProbeOrClearSuspect(const std::shared_ptr<BalancedUpstream>& upstream,
                                         Instant now) {
  if (Probe(upstream, now)) {
    return true;
  }
  if (upstream->is_suspect()) {
    // Nothing can be asked: the next call tells.
    gateway_->balancer().ClearSuspect(upstream.get(), Duration::zero(), now);
  }
  return false;
}

void UpstreamProber::Tick(Instant now) {
  for (auto it = connections_.begin(); it != connections_.end();) {
    auto& line = *it->second;
    if (line.busy() && now - line.started() > kTimeout) {
      line.GiveUp(now);
    }
    it = line.Idle(now) ? connections_.erase(it) : std::next(it);
  }
  for (auto& upstream : gateway_->balancer().DueProbes(now)) {
    ProbeOrClearSuspect(upstream, now);
  }
}

}  // namespace primroseweir
