#include "primroseweir/gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>

namespace primroseweir {
namespace {

// Upper bounds of the histogram buckets in seconds, from a fast read to the longest usual deadline.
const prometheus::Histogram::BucketBoundaries& LatencyBounds() {
  static const prometheus::Histogram::BucketBoundaries kBounds = {
      0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2, 4};
  return kBounds;
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

std::string GatewayMetrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace primroseweir
