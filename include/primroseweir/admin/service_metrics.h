#ifndef PRIMROSEWEIR_ADMIN_SERVICE_METRICS_H_
#define PRIMROSEWEIR_ADMIN_SERVICE_METRICS_H_

#include <prometheus/counter.h>

namespace primroseweir {

// Counters of one service. They live as long as the Metrics that made them, and each increment is
// one atomic operation, so that the call path may hold on to them.
struct ServiceMetrics {
  prometheus::Counter* executed = nullptr;
  prometheus::Counter* not_executed = nullptr;
  prometheus::Counter* unknown = nullptr;
  prometheus::Counter* retries = nullptr;
  prometheus::Counter* hedges = nullptr;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_SERVICE_METRICS_H_
