#ifndef BENCH_SITE_CLOSED_LOOP_H_
#define BENCH_SITE_CLOSED_LOOP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir::bench {

// Where the calls of one run go.
struct Route {
  SocketAddress address;
  // Part of the target before the id of the call.
  std::string target;
};

// Times of the calls of one run, sorted.
struct LoopResult {
  std::vector<Duration> latencies;
  std::uint64_t failed = 0;
  Duration elapsed{};

  // Time below which the share `quantile` of the calls ended; zero without calls.
  Duration Percentile(double quantile) const;
  double CallsPerSecond() const;
};

// Keeps `concurrency` GET calls in flight for `length`, one kept connection each.
LoopResult RunClosedLoop(const Route& route, int concurrency, Duration length);

}  // namespace primroseweir::bench

#endif  // BENCH_SITE_CLOSED_LOOP_H_
