#ifndef BENCH_CHOICE_SCENARIO_H_
#define BENCH_CHOICE_SCENARIO_H_

#include <cstdint>
#include <string>

#include "primroseweir/base/time.h"

namespace primroseweir::bench {

// One simulated experiment: a service whose upstreams have equal slots, the entry instances that
// call it, and the load as a fraction of the upstreams' capacity, stragglers and noise taken into
// account.
struct Scenario {
  std::string name;
  std::uint32_t instances = 17;
  std::uint32_t upstreams = 20;
  std::uint32_t slots = 6;
  double load = 0.7;
  // Number of upstreams that run at kStragglerSpeedFactor.
  std::uint32_t stragglers = 0;
  // Interval at which other upstreams become the stragglers, without warning; 0 keeps the same
  // ones.
  Duration straggler_period{};
  // Load of an instance of the busier half, as a multiple of that of an instance of the other half.
  double load_skew = 1.0;
  Duration report_period = std::chrono::milliseconds(100);
  Duration service_time = std::chrono::milliseconds(8);
  // A call is hedged once it has taken longer than this quantile of the instance's recent
  // latencies; 0 turns hedging off.
  double hedge_quantile = 0;
  // Hedges only while the instance has a free slot that it owns on another upstream.
  bool hedge_onto_owned_only = true;
  Duration run_length = std::chrono::seconds(10);

  static constexpr double kStragglerSpeedFactor = 0.2;
};

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_SCENARIO_H_
