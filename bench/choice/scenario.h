#ifndef BENCH_CHOICE_SCENARIO_H_
#define BENCH_CHOICE_SCENARIO_H_

#include <cstdint>
#include <string>

#include "primroseweir/base/time.h"

namespace primroseweir::bench {

// One experiment: a service of equal upstreams, its instances, and the load in parts of what the
// upstreams can carry.
struct Scenario {
  std::string name;
  std::uint32_t instances = 17;
  std::uint32_t upstreams = 20;
  std::uint32_t slots = 6;
  double load = 0.7;
  // Number of upstreams that run at kStragglerSpeed.
  std::uint32_t stragglers = 0;
  // Time after which other upstreams become the stragglers, without warning; 0 when they stay.
  Duration straggler_period{};
  // Load of the busier half of the instances, in multiples of the other half's.
  double skew = 1.0;
  Duration report_period = std::chrono::milliseconds(100);
  Duration service_time = std::chrono::milliseconds(8);
  // Extra first attempts as hedges: sent after this quantile of recent latencies; 0 for none.
  double hedge_quantile = 0;
  // Send a hedge only while the instance has a free slot of its own.
  bool hedge_onto_owned_only = true;
  Duration length = std::chrono::seconds(10);

  static constexpr double kStragglerSpeed = 0.2;
};

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_SCENARIO_H_
