#ifndef PRIMROSEWEIR_ADMIN_METRICS_H_
#define PRIMROSEWEIR_ADMIN_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "primroseweir/admin/customer_metric.h"
#include "primroseweir/admin/detail/atomic_histogram.h"
#include "primroseweir/admin/service_metrics.h"
#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Prometheus metrics of an entry instance. Thread-safe. ObserveAddedTime and increments of counters
// take no lock.
class Metrics {
 public:
  Metrics();

  // Returns the counters of `service`, which the first call creates. Takes a lock, so look them up
  // when the routing table changes, not for each call. This object owns them.
  const ServiceMetrics* ForService(const ServiceName& service);

  // Records the time that the load balancer added to a call beyond the time of its upstream.
  void ObserveAddedTime(Duration added) { added_time_.Observe(added); }

  prometheus::Counter& probes() { return *probes_; }
  prometheus::Counter& peer_bytes_sent() { return *peer_bytes_sent_; }
  prometheus::Counter& peer_bytes_received() { return *peer_bytes_received_; }

  void SetConfigurationRevision(Revision revision);
  // Sets the number of upstreams in `state`, such as "warm", "warming" or "leaving".
  void SetUpstreams(const std::string& state, std::size_t count);

  // Sets the calls by customer; those that the list does not have any more are dropped.
  void SetCustomerCalls(const std::vector<CustomerMetric>& calls);
  // Sets the share of the customers' quotas that this instance may use, from 0 to 1.
  void SetQuotaShare(double share);

  // Returns all metrics in the Prometheus text format.
  std::string Text() const;

 private:
  prometheus::Registry registry_;
  detail::AtomicHistogram added_time_;
  prometheus::Family<prometheus::Counter>& calls_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Counter>& hedges_;
  prometheus::Family<prometheus::Gauge>& upstreams_;
  prometheus::Counter* probes_;
  prometheus::Counter* peer_bytes_sent_;
  prometheus::Counter* peer_bytes_received_;
  prometheus::Gauge* revision_;
  std::mutex mutex_;
  std::map<ServiceName, std::unique_ptr<ServiceMetrics>> services_;
  // By customer, result and reason. The families exist once there are customers.
  std::map<std::tuple<std::string, std::string, std::string>, prometheus::Counter*> customer_calls_;
  prometheus::Family<prometheus::Counter>* customer_family_ = nullptr;
  prometheus::Gauge* quota_share_ = nullptr;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_METRICS_H_
