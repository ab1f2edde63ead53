#ifndef PRIMROSEWEIR_BALANCE_LATENCY_ESTIMATOR_H_
#define PRIMROSEWEIR_BALANCE_LATENCY_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Estimates the latency of one service's calls at upstreams below and above the utilisation at
// which these slow down (the knee), and derives a concurrency limit.
//
// Load pattern: upstreams that slow down as a whole when nearly full. Above the knee a further call
// lowers the throughput of the upstream, so that it is better to queue the call. Upstreams with
// different numbers of slots are compared separately, since their knees differ.
class LatencyEstimator {
 public:
  // Records a response that arrived `latency` after the call was sent to an upstream with `slots`,
  // which had `occupancy` calls including this one. The weight of older responses decays with
  // kMemory, so that a limit that was learnt in a slow spell can be corrected by few responses.
  void RecordResponse(Duration latency, double occupancy, std::uint32_t slots, Instant now);

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
  // Time constant of the weight of a response. At two responses a second above the knee, the rate
  // of exploration, an average is about 15 responses old.
  static constexpr Duration kMemory = std::chrono::seconds(8);
  // Numbers of slots that are compared; upstreams with others use all of their slots.
  static constexpr std::size_t kMaxSlotCounts = 16;

 private:
  // Running averages over the responses of one kind, in seconds and calls, and their number.
  struct Averages {
    void Add(double sample_latency, double sample_occupancy, Instant now);

    double latency = 0;
    double occupancy = 0;
    std::uint32_t responses = 0;
    // Number of responses that the average still rests on, decayed to the time updated_at.
    double weight = 0;
    Instant updated_at;
  };

  // Responses of the upstreams with one number of slots.
  struct Comparison {
    // Whether both averages have enough responses to be compared.
    bool KnowsKnee() const;

    Averages below_knee;
    Averages above_knee;
  };

  // Returns the comparison for upstreams with `slots` if it knows the knee, else null.
  const Comparison* FindKnown(std::uint32_t slots) const;

  Duration latency_estimate_ = kInitialLatencyEstimate;
  // Over the upstreams with any number of slots.
  Averages below_knee_;
  std::map<std::uint32_t, Comparison> comparisons_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_LATENCY_ESTIMATOR_H_
