#ifndef BENCH_CHOICE_EXPERIMENT_H_
#define BENCH_CHOICE_EXPERIMENT_H_

#include <cstdint>
#include <string>

#include "bench/choice/scenario.h"

namespace primroseweir::bench {

// Result of one run. Latencies count from a call's arrival to its first complete response.
struct RunResult {
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  std::uint64_t calls = 0;
  // Calls whose last permitted attempt was refused.
  std::uint64_t failed_calls = 0;
  // Attempts that upstreams accepted, per completed call, minus one.
  double extra_work = 0;
};

// Name of the policy that reads the upstreams' true state. Its latencies are the bound against
// which the other policies are compared.
inline constexpr char kOracle[] = "oracle";

// Runs the scenario with one policy (a name of LoadBalancingPolicyNames() or kOracle). Under the
// same seed, two policies get the same arrivals, and upstreams whose random generators start alike.
RunResult RunExperiment(const Scenario& scenario, const std::string& policy, std::uint64_t seed);

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_EXPERIMENT_H_
