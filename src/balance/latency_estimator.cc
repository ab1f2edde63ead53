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

// The first samples count equally, later ones by kSampleWeight, and more after a time with few.
void LatencyEstimator::Averages::Add(double sample_latency, double sample_occupancy, Instant now) {
  const double age = std::chrono::duration<double>(now - updated_at).count();
  weight *= std::exp(-std::max(0.0, age) / std::chrono::duration<double>(kMemory).count());
  updated_at = now;
  ++responses;
  ++weight;
  const double sample_weight = std::max(kSampleWeight, 1 / weight);
  latency += (sample_latency - latency) * sample_weight;
  occupancy += (sample_occupancy - occupancy) * sample_weight;
}

bool LatencyEstimator::Comparison::KnowsKnee() const {
  return below_knee.responses >= kMinResponses && above_knee.responses >= kMinResponses;
}

void LatencyEstimator::RecordResponse(Duration latency, double occupancy, std::uint32_t slots,
                                      Instant now) {
  const double seconds = std::chrono::duration<double>(latency).count();
  const bool is_below_knee = occupancy <= SlotsBelowKnee(slots);
  if (is_below_knee) {
    below_knee_.Add(seconds, occupancy, now);
    latency_estimate_ =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(below_knee_.latency));
  }
  if (occupancy > slots ||
      (comparisons_.size() >= kMaxSlotCounts && comparisons_.count(slots) == 0)) {
    return;
  }
  auto& comparison = comparisons_[slots];
  (is_below_knee ? comparison.below_knee : comparison.above_knee).Add(seconds, occupancy, now);
}

const LatencyEstimator::Comparison* LatencyEstimator::FindKnown(std::uint32_t slots) const {
  const auto found = comparisons_.find(slots);
  return found != comparisons_.end() && found->second.KnowsKnee() ? &found->second : nullptr;
}

double LatencyEstimator::LoadFactor(double occupancy, std::uint32_t slots) const {
  const auto* known = FindKnown(slots);
  if (known == nullptr || occupancy <= SlotsBelowKnee(slots) + kOccupancyTolerance) {
    return 1;
  }
  return std::max(1.0, known->above_knee.latency / known->below_knee.latency);
}

std::uint32_t LatencyEstimator::ConcurrencyLimit(std::uint32_t slots) const {
  const auto knee = SlotsBelowKnee(slots);
  const auto* known = FindKnown(slots);
  if (known == nullptr) {
    return slots;
  }
  const double throughput_below = knee / known->below_knee.latency;
  const double throughput_above = known->above_knee.occupancy / known->above_knee.latency;
  // The first calls above the knee overstate the gain: they run partly before the upstream is full.
  const double min_gain =
      std::min(kMinThroughputGain, 1 + (known->above_knee.occupancy / knee - 1) / 2);
  return throughput_above > throughput_below * min_gain ? slots : knee;
}

}  // namespace primroseweir
