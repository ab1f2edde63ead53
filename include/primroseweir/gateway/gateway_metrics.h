#ifndef PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_
#define PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "primroseweir/base/ids.h"
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

class CustomerTable;

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
  // Counts a call of a customer by its outcome, such as "answered" or "refused".
  void CountCustomerCall(const CustomerName& customer, std::string_view outcome);
  // Removes the counters of customers that the table does not contain, so that their number stays
  // bounded. `customers` is null if the configuration has none.
  void KeepCustomers(const CustomerTable* customers);
  // Counts a call of a customer that was refused with 503, by reason. Customers beyond the first
  // kMaxCustomers that were refused are counted together as "other".
  void CountCustomerRefusal(const std::string& customer, const std::string& reason);
  // Counts an event by name, such as "probe", "repeat" or "store_call".
  void CountEvent(const std::string& event, double count = 1);

  // Sets the gauge primroseweir_NAME, such as "peer_memory_bytes".
  void SetGauge(const std::string& name, double value);

  // What became of a call of a customer with a quota. A refunded call was admitted before.
  enum class QuotaEvent { kAdmitted, kRefused, kRefunded };
  void CountQuota(const std::string& customer, QuotaEvent event);
  // Sets the share of the quotas that this instance may use, from 0 to 1.
  void SetQuotaShare(double share);

  // Returns all metrics as text. Linear in their number.
  std::string Text() const;

  static constexpr std::size_t kMaxCustomers = 100;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>* responses_;
  prometheus::Family<prometheus::Counter>* local_replies_;
  prometheus::Family<prometheus::Counter>* events_;
  // Null until the first call of a customer, so that nothing is exported without customers.
  prometheus::Family<prometheus::Counter>* customer_calls_ = nullptr;
  std::map<std::string, prometheus::Histogram*> histograms_;
  std::map<int, prometheus::Counter*> by_status_;
  std::map<std::string, prometheus::Counter*> by_event_;
  // By the customer's name, then by outcome.
  std::map<std::string, std::map<std::string, prometheus::Counter*, std::less<>>>
      customer_call_counters_;
  prometheus::Family<prometheus::Counter>* quota_calls_;
  std::map<std::pair<std::string, QuotaEvent>, prometheus::Counter*> by_quota_event_;
  prometheus::Family<prometheus::Counter>* customer_refusals_;
  // By customer, then by reason.
  std::map<std::string, std::map<std::string, prometheus::Counter*>> by_refused_customer_;
  std::map<std::string, prometheus::Gauge*> gauges_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_GATEWAY_METRICS_H_
