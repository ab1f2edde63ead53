#ifndef PRIMROSEWEIR_BENCH_ROUTING_ROUTING_BENCH_H_
#define PRIMROSEWEIR_BENCH_ROUTING_ROUTING_BENCH_H_

#include <cstdint>
#include <memory>

#include "primroseweir/routing/router.h"

namespace primroseweir::bench {

// Time of Acquire and Finish together.
struct LeaseTime {
  std::uint32_t upstreams = 0;
  std::uint32_t threads = 0;
  // Nanoseconds per lease of one thread, over all threads.
  double mean = 0;
  double percentile_99 = 0;
};

// Runs `calls` leases in each of `threads` threads on a service of warm upstreams.
LeaseTime MeasureLeases(std::uint32_t upstreams, std::uint32_t threads, std::uint32_t calls);

// Heap bytes of a router's tables, and time of the controllers' work on them.
struct TableCost {
  double bytes_per_upstream = 0;
  double bytes_per_service = 0;
  double total_megabytes = 0;
  double apply_milliseconds = 0;
  double live_seats_milliseconds = 0;
  double merge_milliseconds = 0;
};

// Builds tables with that many upstreams and services, and each without the other.
TableCost MeasureTables(std::uint32_t upstreams, std::uint32_t services);

// A refusal without waiting: mean nanoseconds when the expected wait exceeds the deadline.
double MeasureRefusals(std::uint32_t calls);

}  // namespace primroseweir::bench

#endif  // PRIMROSEWEIR_BENCH_ROUTING_ROUTING_BENCH_H_
