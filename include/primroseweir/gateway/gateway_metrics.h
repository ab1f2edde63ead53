#ifndef PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_
#define PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_

#include <map>
#include <memory>
#include <string>

#include "primroseweir/base/time.h"

namespace prometheus {
class Counter;
class Histogram;
class Registry;
template <typename T>
class Family;
}  // namespace prometheus

namespace primroseweir {

// Counters and latency histograms of a gateway, in the text format of Prometheus.
class GatewayMetrics {
 public:
  GatewayMetrics();
  ~GatewayMetrics();

  // A call was answered by an upstream, `took` after it arrived.
  void CountResponse(const std::string& prefix, Duration latency);
  // The gateway answered a call itself.
  void CountLocalReply(int status);
  // Something else that is counted, by name: "probe", "repeat", "store_call", ...
  void CountEvent(const std::string& what);

  // All figures as text. Linear in their number.
  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>* responses_;
  prometheus::Family<prometheus::Counter>* local_replies_;
  prometheus::Family<prometheus::Counter>* events_;
  std::map<std::string, prometheus::Histogram*> histograms_;
  std::map<int, prometheus::Counter*> by_status_;
  std::map<std::string, prometheus::Counter*> by_event_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_
