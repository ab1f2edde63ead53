#include "primroseweir/balance/latency_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace primroseweir {
namespace {

// Responses that each average needs before the two are compared.
constexpr std::uint32_t kMinResponses = 15;
constexpr double kSampleWeight = 0.05;

std::uint32_t SlotsBelowKnee(std::uint32_t slots) {
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(std::floor(LatencyEstimator::kKneeUtilization * slots)));
}

// Updates a running average: the first samples count equally, later ones by kSampleWeight.
void UpdateAverage(double* average, std::uint32_t* count, double sample) {
  ++*count;
  *average += (sample - *average) * std::max(kSampleWeight, 1.0 / *count);
}

}  // namespace

void LatencyEstimator::RecordResponse(Duration latency, double occupancy, std::uint32_t slots) {
  const double seconds = std::chrono::duration<double>(latency).count();
  if (occupancy <= SlotsBelowKnee(slots)) {
    UpdateAverage(&mean_below_knee_, &responses_below_knee_, seconds);
    latency_estimate_ =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(mean_below_knee_));
  } else if (occupancy <= slots) {
    UpdateAverage(&mean_above_knee_, &responses_above_knee_, seconds);
  }
}

std::uint32_t LatencyEstimator::ConcurrencyLimit(std::uint32_t slots) const {
  const auto knee = SlotsBelowKnee(slots);
  if (responses_below_knee_ < kMinResponses || responses_above_knee_ < kMinResponses) {
    return slots;
  }
  const double throughput_below = knee / mean_below_knee_;
  const double throughput_above = slots / mean_above_knee_;
  return throughput_below > throughput_above ? knee : slots;
}

}  // namespace primroseweir
