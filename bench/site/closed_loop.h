#ifndef BENCH_SITE_CLOSED_LOOP_H_
#define BENCH_SITE_CLOSED_LOOP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir::bench {

// Address and request target of the calls of one run.
struct Destination {
  SocketAddress address;
  // Prefix of the request target; the id of the call follows it.
  std::string target;
};

// Latencies of the successful calls of one run, in ascending order, and the number of failed calls.
struct LoopResult {
  std::vector<Duration> latencies;
  std::uint64_t failed = 0;
  Duration elapsed{};

  // Returns the latency at `quantile`, from 0 to 1; zero if no call succeeded.
  Duration Percentile(double quantile) const;
  double CallsPerSecond() const;
};

// Keeps `concurrency` GET calls in flight for `length`, each on its own persistent connection.
LoopResult RunClosedLoop(const Destination& destination, int concurrency, Duration length);

}  // namespace primroseweir::bench

#endif  // BENCH_SITE_CLOSED_LOOP_H_
