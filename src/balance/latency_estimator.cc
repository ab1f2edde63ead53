#include "primroseweir/balance/latency_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace primroseweir {
namespace {

// Responses that each average needs before the two are compared.
constexpr std::uint32_t kMinResponses = 15;
// About 50 responses: latencies of one service differ by a factor of five.
constexpr double kSampleWeight = 0.02;
// Throughput above the knee relative to that below it, from which the slots above the knee are
// used; half of the possible gain suffices where that is less.
constexpr double kMinThroughputGain = 1.1;
// Occupancies are estimates with fractions.
constexpr double kOccupancyTolerance = 0.5;

std::uint32_t SlotsBelowKnee(std::uint32_t slots) {
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(std::floor(LatencyEstimator::kKneeUtilization * slots)));
}

}  // namespace

// The first samples count equally, later ones by kSampleWeight.
void LatencyEstimator::Averages::Add(double sample_latency, double sample_occupancy) {
  const double weight = std::max(kSampleWeight, 1.0 / ++responses);
  latency += (sample_latency - latency) * weight;
  occupancy += (sample_occupancy - occupancy) * weight;
}

void LatencyEstimator::RecordResponse(Duration latency, double occupancy, std::uint32_t slots) {
  const double seconds = std::chrono::duration<double>(latency).count();
  if (occupancy <= SlotsBelowKnee(slots)) {
    below_knee_.Add(seconds, occupancy);
    latency_estimate_ =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(below_knee_.latency));
  } else if (occupancy <= slots) {
    above_knee_.Add(seconds, occupancy);
  }
}

bool LatencyEstimator::KnowsKnee() const {
  return below_knee_.responses >= kMinResponses && above_knee_.responses >= kMinResponses;
}

double LatencyEstimator::LoadFactor(double occupancy, std::uint32_t slots) const {
  if (!KnowsKnee() || occupancy <= SlotsBelowKnee(slots) + kOccupancyTolerance) {
    return 1;
  }
  return std::max(1.0, above_knee_.latency / below_knee_.latency);
}

std::uint32_t LatencyEstimator::ConcurrencyLimit(std::uint32_t slots) const {
  const auto knee = SlotsBelowKnee(slots);
  if (!KnowsKnee()) {
    return slots;
  }
  const double throughput_below = knee / below_knee_.latency;
  const double throughput_above = above_knee_.occupancy / above_knee_.latency;
  // The first calls above the knee overstate the gain: they run partly before the upstream is full.
  const double min_gain = std::min(kMinThroughputGain, 1 + (above_knee_.occupancy / knee - 1) / 2);
  return throughput_above > throughput_below * min_gain ? slots : knee;
}

}  // namespace primroseweir
