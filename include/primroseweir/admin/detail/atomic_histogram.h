#ifndef PRIMROSEWEIR_ADMIN_DETAIL_ATOMIC_HISTOGRAM_H_
#define PRIMROSEWEIR_ADMIN_DETAIL_ATOMIC_HISTOGRAM_H_

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

#include "primroseweir/base/time.h"

namespace primroseweir::detail {

// Histogram of times without a lock; the one of prometheus-cpp takes a mutex for each value, which
// the call path must not.
class AtomicHistogram : public prometheus::Collectable {
 public:
  // Upper bounds of the buckets in microseconds; the last bucket has none.
  static constexpr std::array<std::int64_t, 14> kBounds = {
      50,    100,   200,    500,    1'000,  1'500,   1'900,
      2'500, 5'000, 10'000, 25'000, 50'000, 100'000, 1'000'000};

  AtomicHistogram(std::string name, std::string help);

  void Observe(Duration value);

  std::vector<prometheus::MetricFamily> Collect() const override;

 private:
  const std::string name_;
  const std::string help_;
  std::array<std::atomic<std::uint64_t>, kBounds.size() + 1> counts_{};
  std::atomic<std::uint64_t> sum_microseconds_{0};
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_ADMIN_DETAIL_ATOMIC_HISTOGRAM_H_
