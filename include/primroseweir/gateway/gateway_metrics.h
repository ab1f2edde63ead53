#ifndef PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_
#define PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

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
  void CountEvent(const std::string& event);

  // What became of a call of a customer with a quota. A refunded call was admitted before.
  enum class QuotaEvent { kAdmitted, kRefused, kRefunded };
  void CountQuota(const std::string& customer, QuotaEvent event);
  // Sets the share of the quotas that this instance may use, from 0 to 1.
  void SetQuotaShare(double share);

  // Returns all metrics as text. Linear in their number.
  std::string Text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>* responses_;
  prometheus::Family<prometheus::Counter>* local_replies_;
  prometheus::Family<prometheus::Counter>* events_;
  prometheus::Family<prometheus::Counter>* quota_calls_;
  prometheus::Gauge* quota_share_;
  std::map<std::string, prometheus::Histogram*> histograms_;
  std::map<int, prometheus::Counter*> by_status_;
  std::map<std::string, prometheus::Counter*> by_event_;
  std::map<std::pair<std::string, QuotaEvent>, prometheus::Counter*> by_quota_event_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_
