#ifndef PRIMROSEWEIR_BALANCE_LATENCY_ESTIMATOR_H_
#define PRIMROSEWEIR_BALANCE_LATENCY_ESTIMATOR_H_

#include <cstdint>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Learns how long the calls of one service take at free and at nearly full upstreams.
//
// Load pattern: upstreams that slow down as a whole when nearly full. Beyond that knee a further
// call lowers the throughput of the upstream, so that it is better to let the call wait.
class LatencyEstimator {
 public:
  // An answer arrived `took` after the call was sent to an upstream with `slots`, where it made
  // `occupancy` calls.
  void RecordResponse(Duration latency, double occupancy, std::uint32_t slots);

  // Usual time to answer at an upstream that is not nearly full.
  Duration latency_estimate() const { return latency_estimate_; }

  // Calls that an upstream with `slots` should have at a time: all its slots, or only those below
  // the knee when the rest lowers the throughput.
  std::uint32_t ConcurrencyLimit(std::uint32_t slots) const;

  // Part of the slots below the knee.
  static constexpr double kKneeUtilization = 0.8;
  // Assumed before the first answer.
  static constexpr Duration kInitialLatencyEstimate = std::chrono::milliseconds(100);

 private:
  Duration latency_estimate_ = kInitialLatencyEstimate;
  // Running averages in seconds below and above the knee, and how many answers went in.
  double mean_below_knee_ = 0;
  double mean_above_knee_ = 0;
  std::uint32_t responses_below_knee_ = 0;
  std::uint32_t responses_above_knee_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_LATENCY_ESTIMATOR_H_
