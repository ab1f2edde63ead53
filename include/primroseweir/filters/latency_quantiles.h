#ifndef PRIMROSEWEIR_FILTERS_LATENCY_QUANTILES_H_
#define PRIMROSEWEIR_FILTERS_LATENCY_QUANTILES_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Running estimate of the 95th percentile of each service's time to the answer's head. Each sample
// moves the estimate a little, up 19 times as far as down, so that one in 20 stays above it. Safe
// for many threads, without locks; a lost update costs one sample. Services share a fixed number of
// places by hash.
class LatencyQuantiles {
 public:
  void Add(const ServiceName& service, Duration latency);
  // The estimate; nothing before kMinSamples.
  std::optional<Duration> Get(const ServiceName& service) const;

  static constexpr std::uint32_t kMinSamples = 20;

 private:
  struct Place {
    std::atomic<std::int64_t> nanoseconds{0};
    std::atomic<std::uint32_t> samples{0};
  };
  static constexpr std::size_t kPlaces = 4096;

  static std::size_t PlaceOf(const ServiceName& service);

  std::array<Place, kPlaces> places_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_LATENCY_QUANTILES_H_
