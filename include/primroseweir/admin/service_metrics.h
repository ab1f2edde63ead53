#ifndef PRIMROSEWEIR_ADMIN_SERVICE_METRICS_H_
#define PRIMROSEWEIR_ADMIN_SERVICE_METRICS_H_

#include <prometheus/counter.h>

namespace primroseweir {

// Counters of one service, owned by the Metrics that created them. The call path may keep pointers
// to them: they live as long as the Metrics, and each increment is one atomic operation.
struct ServiceMetrics {
  prometheus::Counter* executed = nullptr;
  prometheus::Counter* not_executed = nullptr;
  prometheus::Counter* unknown = nullptr;
  prometheus::Counter* retries = nullptr;
  prometheus::Counter* hedges = nullptr;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_SERVICE_METRICS_H_
