#ifndef PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_
#define PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_

#include <map>
#include <memory>
#include <string>

#include "primroseweir/base/time.h"

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
template <typename T>
class Family;
}  // namespace prometheus

namespace primroseweir {

// Counters and latency histograms of a gateway, exported in the Prometheus text format.
class GatewayMetrics {
 public:
  GatewayMetrics();
  ~GatewayMetrics();

  // Counts a call on the route `prefix` to which an upstream responded, `latency` after the call
  // was received.
  void CountResponse(const std::string& prefix, Duration latency);
  // Counts a call to which the gateway itself responded.
  void CountLocalReply(int status);
  // Counts an event by name, such as "probe", "repeat" or "store_call".
  void CountEvent(const std::string& event, double count = 1);

  // Sets the gauge primroseweir_NAME, such as "peer_memory_bytes".
  void SetGauge(const std::string& name, double value);

  // Returns all metrics as text. Linear in their number.
  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>* responses_;
  prometheus::Family<prometheus::Counter>* local_replies_;
  prometheus::Family<prometheus::Counter>* events_;
  std::map<std::string, prometheus::Histogram*> histograms_;
  std::map<int, prometheus::Counter*> by_status_;
  std::map<std::string, prometheus::Counter*> by_event_;
  std::map<std::string, prometheus::Gauge*> gauges_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_
