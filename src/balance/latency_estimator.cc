#include "primroseweir/balance/latency_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace primroseweir {
namespace {

// Answers that each average needs before the two are compared.
constexpr std::uint32_t kEnough = 15;
constexpr double kWeight = 0.05;

std::uint32_t BelowKnee(std::uint32_t slots) {
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(std::floor(LatencyEstimator::kKneeUtilization * slots)));
}

// The first answers count equally, later ones by a fixed weight.
void Average(double* average, std::uint32_t* count, double sample) {
  ++*count;
  *average += (sample - *average) * std::max(kWeight, 1.0 / *count);
}

}  // namespace

void LatencyEstimator::RecordResponse(Duration latency, double occupancy, std::uint32_t slots) {
  const double seconds = std::chrono::duration<double>(latency).count();
  if (occupancy <= BelowKnee(slots)) {
    Average(&mean_below_knee_, &responses_below_knee_, seconds);
    latency_estimate_ =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(mean_below_knee_));
  } else if (occupancy <= slots) {
    Average(&mean_above_knee_, &responses_above_knee_, seconds);
  }
}

std::uint32_t LatencyEstimator::ConcurrencyLimit(std::uint32_t slots) const {
  const auto knee = BelowKnee(slots);
  if (responses_below_knee_ < kEnough || responses_above_knee_ < kEnough) {
    return slots;
  }
  const double throughput_below = knee / mean_below_knee_;
  const double throughput_above = slots / mean_above_knee_;
  return throughput_below > throughput_above ? knee : slots;
}

}  // namespace primroseweir
