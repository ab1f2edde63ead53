#include "primroseweir/admin/metrics.h"

#include <prometheus/text_serializer.h>

#include <utility>

namespace primroseweir {
namespace {

prometheus::Family<prometheus::Counter>& RegisterCounters(prometheus::Registry* registry,
                                                          const char* name, const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*registry);
}

prometheus::Family<prometheus::Gauge>& RegisterGauges(prometheus::Registry* registry,
                                                      const char* name, const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*registry);
}

}  // namespace

Metrics::Metrics()
    : added_time_("primroseweir_added_seconds", "Time added to a call beyond that of its upstream"),
      calls_(
          RegisterCounters(&registry_, "primroseweir_calls_total", "Calls by service and outcome")),
      retries_(RegisterCounters(&registry_, "primroseweir_retries_total",
                                "Second executions of a call")),
      hedges_(RegisterCounters(&registry_, "primroseweir_hedges_total", "Hedged calls")),
      upstreams_(RegisterGauges(&registry_, "primroseweir_upstreams", "Upstreams by state")),
      probes_(&RegisterCounters(&registry_, "primroseweir_probes_total", "Probes sent").Add({})) {
  auto& bytes = RegisterCounters(&registry_, "primroseweir_peer_bytes_total",
                                 "Bytes exchanged with other instances, by direction");
  peer_bytes_sent_ = &bytes.Add({{"direction", "sent"}});
  peer_bytes_received_ = &bytes.Add({{"direction", "received"}});
  revision_ = &RegisterGauges(&registry_, "primroseweir_configuration_revision",
                              "Revision of the configuration in force")
                   .Add({});
}

const ServiceMetrics* Metrics::ForService(const ServiceName& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::unique_ptr<ServiceMetrics>& metrics = services_[service];
  if (metrics == nullptr) {
    metrics = std::make_unique<ServiceMetrics>();
    const std::string& name = service.value();
    metrics->executed = &calls_.Add({{"service", name}, {"outcome", "ran"}});
    metrics->not_executed = &calls_.Add({{"service", name}, {"outcome", "not-run"}});
    metrics->unknown = &calls_.Add({{"service", name}, {"outcome", "unknown"}});
    metrics->retries = &retries_.Add({{"service", name}});
    metrics->hedges = &hedges_.Add({{"service", name}});
  }
  return metrics.get();
}

void Metrics::SetConfigurationRevision(Revision revision) {
  revision_->Set(static_cast<double>(revision.value()));
}

void Metrics::SetUpstreams(const std::string& state, std::size_t count) {
  upstreams_.Add({{"state", state}}).Set(static_cast<double>(count));
}

void Metrics::SetCustomerCalls(const std::vector<CustomerMetric>& calls) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (customer_family_ == nullptr && !calls.empty()) {
    customer_family_ = &RegisterCounters(&registry_, "primroseweir_customer_calls_total",
                                         "Calls by customer, result and reason of a refusal");
  }
  auto before = std::move(customer_calls_);
  customer_calls_.clear();
  for (const CustomerMetric& metric : calls) {
    const auto found = before.find(metric.Key());
    prometheus::Counter* counter = found != before.end()
                                       ? found->second
                                       : &customer_family_->Add({{"customer", metric.customer},
                                                                 {"result", metric.result},
                                                                 {"reason", metric.reason}});
    if (metric.calls > counter->Value()) counter->Increment(metric.calls - counter->Value());
    customer_calls_[metric.Key()] = counter;
    if (found != before.end()) before.erase(found);
  }
  for (const auto& [key, counter] : before) customer_family_->Remove(counter);
}

void Metrics::SetQuotaShare(double share) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (quota_share_ == nullptr) {
    quota_share_ = &RegisterGauges(&registry_, "primroseweir_quota_share",
                                   "Share of the customers' quotas that this instance may use")
                        .Add({});
  }
  quota_share_->Set(share);
}

std::string Metrics::Text() const {
  std::vector<prometheus::MetricFamily> families = registry_.Collect();
  for (auto& family : added_time_.Collect()) families.push_back(std::move(family));
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace primroseweir
