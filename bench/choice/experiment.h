#ifndef BENCH_CHOICE_EXPERIMENT_H_
#define BENCH_CHOICE_EXPERIMENT_H_

#include <cstdint>
#include <string>

#include "bench/choice/scenario.h"

namespace primroseweir::bench {

// Latencies of one run in milliseconds, from a call's arrival to its first whole answer.
struct RunResult {
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  std::uint64_t calls = 0;
  // Calls that all tried upstreams refused.
  std::uint64_t failed = 0;
  // Attempts beyond the first that an upstream executed, per call.
  double extra_work = 0;
};

// Name of the choice that sees the upstreams' true state; it gives the limit.
inline constexpr char kOracle[] = "oracle";

// Runs the scenario with one policy (a name of LoadBalancingPolicyNames() or kOracle). Two policies
// under the same seed see the same arrivals and the same noise.
RunResult RunExperiment(const Scenario& scenario, const std::string& policy, std::uint64_t seed);

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_EXPERIMENT_H_
