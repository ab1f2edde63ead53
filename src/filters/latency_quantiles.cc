#include "primroseweir/filters/latency_quantiles.h"

#include <algorithm>
#include <chrono>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

// One step down; 19 steps up balance 19 of 20 samples below the estimate.
constexpr double kStep = 0.01;
constexpr double kUp = 19 * kStep;

}  // namespace

std::size_t LatencyQuantiles::PlaceOf(const ServiceName& service) {
  return StableHash(service.value()) % kPlaces;
}

void LatencyQuantiles::Add(const ServiceName& service, Duration latency) {
  auto& place = places_[PlaceOf(service)];
  const auto sample = std::chrono::duration_cast<std::chrono::nanoseconds>(latency).count();
  const auto estimate = place.nanoseconds.load(std::memory_order_relaxed);
  const auto count = place.samples.fetch_add(1, std::memory_order_relaxed);
  // The first samples set the scale: the estimate starts at their maximum.
  if (count < kMinSamples) {
    place.nanoseconds.store(std::max(estimate, sample), std::memory_order_relaxed);
    return;
  }
  const double factor = sample > estimate ? 1 + kUp : 1 - kStep;
  const auto moved = static_cast<std::int64_t>(static_cast<double>(estimate) * factor);
  place.nanoseconds.store(std::max<std::int64_t>(moved, 1), std::memory_order_relaxed);
}

std::optional<Duration> LatencyQuantiles::Get(const ServiceName& service) const {
  const auto& place = places_[PlaceOf(service)];
  if (place.samples.load(std::memory_order_relaxed) < kMinSamples) {
    return std::nullopt;
  }
  return std::chrono::nanoseconds(place.nanoseconds.load(std::memory_order_relaxed));
}

}  // namespace primroseweir
