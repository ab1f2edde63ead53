#ifndef BENCH_SITE_EXPERIMENTS_H_
#define BENCH_SITE_EXPERIMENTS_H_

#include <chrono>
#include <nlohmann/json.hpp>

#include "primroseweir/base/time.h"

namespace primroseweir::bench {

// Milliseconds with their fraction, for tables.
inline double FractionalMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Each experiment starts a site of its own, prints a table and answers its result as JSON.

// Percentiles of a call direct to the upstream, through a bare relay and through an entry instance,
// interleaved in one run, at 1, 64 and 512 calls in flight.
nlohmann::json MeasureAddedTime();

// Useful answers within the deadline at 1.5 and 3 times capacity, and the time until a refusal.
nlohmann::json MeasureOverload();

// What callers see while a data centre leaves at 80% load and returns cold.
nlohmann::json MeasureDataCentre();

}  // namespace primroseweir::bench

#endif  // BENCH_SITE_EXPERIMENTS_H_
