#include "primroseweir/gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>

#include "primroseweir/customers/customer_table.h"

namespace primroseweir {
namespace {

// Upper bounds of the histogram buckets in seconds, from a fast read to the longest usual deadline.
const prometheus::Histogram::BucketBoundaries& LatencyBounds() {
  static const prometheus::Histogram::BucketBoundaries kBounds = {
      0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2, 4};
  return kBounds;
}

const char* NameOf(GatewayMetrics::QuotaEvent event) {
  switch (event) {
    case GatewayMetrics::QuotaEvent::kAdmitted:
      return "admitted";
    case GatewayMetrics::QuotaEvent::kRefused:
      return "refused";
    case GatewayMetrics::QuotaEvent::kRefunded:
      return "refunded";
  }
  return "unknown";
}

}  // namespace

GatewayMetrics::GatewayMetrics() : registry_(std::make_shared<prometheus::Registry>()) {
  responses_ = &prometheus::BuildHistogram()
                    .Name("primroseweir_answer_seconds")
                    .Help("Time from a call's arrival to the answer of an upstream")
                    .Register(*registry_);
  local_replies_ = &prometheus::BuildCounter()
                        .Name("primroseweir_own_answers_total")
                        .Help("Calls that the gateway answered itself, by status")
                        .Register(*registry_);
  events_ = &prometheus::BuildCounter()
                 .Name("primroseweir_events_total")
                 .Help("Events by name")
                 .Register(*registry_);
  quota_calls_ = &prometheus::BuildCounter()
                      .Name("primroseweir_quota_calls_total")
                      .Help("Calls of customers with quotas, by customer and decision")
                      .Register(*registry_);
  customer_refusals_ = &prometheus::BuildCounter()
                            .Name("primroseweir_customer_refusals_total")
                            .Help("Calls refused with 503, by customer and reason")
                            .Register(*registry_);
}

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::CountResponse(const std::string& prefix, Duration latency) {
  auto& histogram = histograms_[prefix];
  if (histogram == nullptr) {
    histogram = &responses_->Add({{"prefix", prefix}}, LatencyBounds());
  }
  histogram->Observe(std::chrono::duration<double>(latency).count());
}

void GatewayMetrics::CountLocalReply(int status) {
  auto& counter = by_status_[status];
  if (counter == nullptr) {
    counter = &local_replies_->Add({{"status", std::to_string(status)}});
  }
  counter->Increment();
}

void GatewayMetrics::CountCustomerCall(const CustomerName& customer, std::string_view outcome) {
  if (customer_calls_ == nullptr) {
    customer_calls_ = &prometheus::BuildCounter()
                           .Name("primroseweir_customer_calls_total")
                           .Help("Calls of each customer, by outcome")
                           .Register(*registry_);
  }
  auto& by_outcome = customer_call_counters_[customer.value()];
  auto found = by_outcome.find(outcome);
  if (found == by_outcome.end()) {
    const std::string name(outcome);
    auto& counter = customer_calls_->Add({{"customer", customer.value()}, {"outcome", name}});
    found = by_outcome.emplace(name, &counter).first;
  }
  found->second->Increment();
}

void GatewayMetrics::KeepCustomers(const CustomerTable* customers) {
  for (auto it = customer_call_counters_.begin(); it != customer_call_counters_.end();) {
    if (customers != nullptr && customers->FindByName(it->first) != nullptr) {
      ++it;
      continue;
    }
    for (const auto& [outcome, counter] : it->second) {
      customer_calls_->Remove(counter);
    }
    it = customer_call_counters_.erase(it);
  }
  for (auto it = by_quota_event_.begin(); it != by_quota_event_.end();) {
    if (customers != nullptr && customers->FindByName(it->first.first) != nullptr) {
      ++it;
      continue;
    }
    quota_calls_->Remove(it->second);
    it = by_quota_event_.erase(it);
  }
}

void GatewayMetrics::CountCustomerRefusal(const std::string& customer, const std::string& reason) {
  const bool is_counted_alone =
      by_refused_customer_.count(customer) != 0 || by_refused_customer_.size() < kMaxCustomers;
  const std::string label = is_counted_alone ? customer : "other";
  auto& counter = by_refused_customer_[label][reason];
  if (counter == nullptr) {
    counter = &customer_refusals_->Add({{"customer", label}, {"reason", reason}});
  }
  counter->Increment();
}

void GatewayMetrics::CountEvent(const std::string& event, double count) {
  auto& counter = by_event_[event];
  if (counter == nullptr) {
    counter = &events_->Add({{"event", event}});
  }
  counter->Increment(count);
}

void GatewayMetrics::SetGauge(const std::string& name, double value) {
  auto& gauge = gauges_[name];
  if (gauge == nullptr) {
    gauge = &prometheus::BuildGauge().Name("primroseweir_" + name).Register(*registry_).Add({});
  }
  gauge->Set(value);
}

void GatewayMetrics::CountQuota(const std::string& customer, QuotaEvent event) {
  auto& counter = by_quota_event_[{customer, event}];
  if (counter == nullptr) {
    counter = &quota_calls_->Add({{"customer", customer}, {"decision", NameOf(event)}});
  }
  counter->Increment();
}

void GatewayMetrics::SetQuotaShare(double share) { SetGauge("quota_usable_share", share); }

std::string GatewayMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace primroseweir
