#ifndef BENCH_SITE_EXPERIMENTS_H_
#define BENCH_SITE_EXPERIMENTS_H_

#include <chrono>
#include <nlohmann/json.hpp>

#include "primroseweir/base/time.h"

namespace primroseweir::bench {

// Returns the duration in milliseconds, fraction included.
inline double FractionalMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Each experiment starts a separate site of real processes, prints its results and returns them as
// JSON.

// Measures latency percentiles of calls sent directly to the upstream, through a plain TCP relay
// and through an entry instance, at 1, 64 and 512 calls in flight. Runs of the three alternate.
nlohmann::json MeasureAddedTime();

// Measures the correct responses per second within the call timeout, and the latency percentiles of
// all calls, refused ones included, before, during and after an overload of 1.5 and of 3 times the
// capacity of one service.
nlohmann::json MeasureOverload();

// Measures the outcomes and latencies of calls while a data centre is declared out at a load of 80%
// of the other data centres' capacity, and while it returns with cold upstreams.
nlohmann::json MeasureDataCentre();

}  // namespace primroseweir::bench

#endif  // BENCH_SITE_EXPERIMENTS_H_
