#ifndef PRIMROSEWEIR_BENCH_ROUTING_ROUTING_BENCH_H_
#define PRIMROSEWEIR_BENCH_ROUTING_ROUTING_BENCH_H_

#include <cstdint>
#include <memory>

#include "primroseweir/routing/router.h"

namespace primroseweir::bench {

// Time that acquiring and finishing a lease takes.
struct LeaseTime {
  std::uint32_t upstreams = 0;
  std::uint32_t threads = 0;
  // Statistics of the time per lease, over the leases of all threads.
  double mean_nanoseconds = 0;
  double percentile_99_nanoseconds = 0;
};

// Acquires and finishes `calls` leases in each of `threads` threads on one service whose upstreams
// are warm.
LeaseTime MeasureLeases(std::uint32_t upstreams, std::uint32_t threads, std::uint32_t calls);

// Heap bytes of a router's tables, and the time of applying a configuration, live seats and
// observations to them.
struct TableCost {
  double bytes_per_upstream = 0;
  double bytes_per_service = 0;
  double total_megabytes = 0;
  double apply_milliseconds = 0;
  double live_seats_milliseconds = 0;
  double merge_milliseconds = 0;
};

// Measures tables of that size. Also builds an empty router and one with services only, to
// attribute the heap bytes to services and upstreams.
TableCost MeasureTables(std::uint32_t upstreams, std::uint32_t services);

// Returns the mean nanoseconds of a refusal at once, because the expected wait exceeds the
// deadline.
double MeasureRefusals(std::uint32_t calls);

}  // namespace primroseweir::bench

#endif  // PRIMROSEWEIR_BENCH_ROUTING_ROUTING_BENCH_H_
