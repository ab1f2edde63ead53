#include "primroseweir/gateway/upstream_prober.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
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

// One probe of one upstream.
class UpstreamProber::Probe : public HttpClientListener {
 public:
  Probe(Gateway* gateway, std::shared_ptr<BalancedUpstream> upstream, const std::string& target,
        Instant now)
      : gateway_(gateway), upstream_(std::move(upstream)), started_(now) {
    RequestHead head;
    head.target = target;
    head.fields.Add("Host", upstream_->record().address.ToString());
    stream_ = std::make_unique<HttpClientStream>(gateway_->loop(), upstream_->record().address);
    stream_->Send(head, std::string(), {}, this);
  }

  bool done() const { return done_; }
  Instant started() const { return started_; }

  void OnAnswer(ResponseHead* head, std::string /*piece*/, bool whole) override {
    if (!whole) {
      return;
    }
    done_ = true;
    const auto now = EventLoop::Now();
    const auto& fields = gateway_->fields();
    const auto& id = upstream_->record().id;
    const auto answered_by = head->fields.Get(fields.upstream_id);
    if (const auto load = ParseLoad(head->fields.Get(fields.load))) {
      upstream_->NoteReport(*load, now);
    }
    const auto warm_up =
        std::chrono::milliseconds(std::atoll(head->fields.Get(fields.warm_up_left).c_str()));
    const bool other = !answered_by.empty() && answered_by != id.value();
    if (other) {
      upstream_->SetMisdirected();
    } else if (head->status == kOk) {
      gateway_->book().Trust(upstream_.get(), warm_up, now);
      gateway_->ClearCrash(id);
      gateway_->OfferRoom(upstream_->record().service, now);
    }
    gateway_->log().Write("probe_answered",
                          {{"upstream", id.value()},
                           {"answered_by", answered_by},
                           {"status", std::to_string(head->status)},
                           {"warm_up_ms", std::to_string(warm_up.count())},
                           {"outcome", other                  ? "misdirected"
                                       : head->status == kOk ? "trusted"
                                                             : "doubted"}},
                          now);
  }

  void OnFailure(Failure failure) override {
    done_ = true;
    if (failure == Failure::kConnect) {
      gateway_->ConfirmCrash(upstream_->record().id, EventLoop::Now());
    }
  }

 private:
  Gateway* const gateway_;
  const std::shared_ptr<BalancedUpstream> upstream_;
  const Instant started_;
  std::unique_ptr<HttpClientStream> stream_;
  bool done_ = false;
};

UpstreamProber::UpstreamProber(Gateway* gateway) : gateway_(gateway) {}
UpstreamProber::~UpstreamProber() = default;

void UpstreamProber::Tick(Instant now) {
  probes_.erase(std::remove_if(probes_.begin(), probes_.end(),
                               [now](const auto& probe) {
                                 return probe->done() || now - probe->started() > kTimeout;
                               }),
                probes_.end());
  const auto& routes = gateway_->state().routes;
  if (routes == nullptr) {
    return;
  }
  for (auto& upstream : gateway_->book().DueProbes(now)) {
    const auto* terms = routes->FindService(upstream->record().service);
    if (terms == nullptr || terms->probe.empty()) {
      // Nothing can be asked: the next call tells.
      gateway_->book().Trust(upstream.get(), Duration::zero(), now);
      continue;
    }
    gateway_->metrics().Count("probe");
    probes_.push_back(std::make_unique<Probe>(gateway_, upstream, terms->probe, now));
  }
}

}  // namespace primroseweir
