#ifndef PRIMROSEWEIR_BALANCE_LATENCY_ESTIMATOR_H_
#define PRIMROSEWEIR_BALANCE_LATENCY_ESTIMATOR_H_

#include <cstdint>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Estimates the latency of one service's calls at upstreams below and above the utilisation at
// which these slow down (the knee), and derives a concurrency limit.
//
// Load pattern: upstreams that slow down as a whole when nearly full. Above the knee a further call
// lowers the throughput of the upstream, so that it is better to queue the call.
class LatencyEstimator {
 public:
  // Records a response that arrived `latency` after the call was sent to an upstream with `slots`,
  // which had `occupancy` calls including this one.
  void RecordResponse(Duration latency, double occupancy, std::uint32_t slots);

  // Returns the mean latency at upstreams below the knee.
  Duration latency_estimate() const { return latency_estimate_; }

  // Returns the number of concurrent calls that an upstream with `slots` should have: all its
  // slots, or only those below the knee when filling the rest lowers the throughput.
  std::uint32_t ConcurrencyLimit(std::uint32_t slots) const;

  // Returns the factor by which the latency at an upstream with `occupancy` calls exceeds the
  // latency estimate because of these calls: 1 below the knee.
  double LoadFactor(double occupancy, std::uint32_t slots) const;

  // Fraction of the slots that lies below the knee.
  static constexpr double kKneeUtilization = 0.8;
  // Latency estimate before the first response.
  static constexpr Duration kInitialLatencyEstimate = std::chrono::milliseconds(100);

 private:
  // Running averages over the responses of one kind, in seconds and calls, and their number.
  struct Averages {
    void Add(double sample_latency, double sample_occupancy);

    double latency = 0;
    double occupancy = 0;
    std::uint32_t responses = 0;
  };

  // Whether both averages have enough responses to be compared.
  bool KnowsKnee() const;

  Duration latency_estimate_ = kInitialLatencyEstimate;
  Averages below_knee_;
  Averages above_knee_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_LATENCY_ESTIMATOR_H_
