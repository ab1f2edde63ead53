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

// Lock-free histogram of durations. The histogram of prometheus-cpp locks a mutex for each value,
// which the call path must not do.
class AtomicHistogram : public prometheus::Collectable {
 public:
  // Inclusive upper bounds of the buckets. One more bucket without an upper bound follows.
  static constexpr std::array<std::int64_t, 14> kBoundsMicroseconds = {
      50,    100,   200,    500,    1'000,  1'500,   1'900,
      2'500, 5'000, 10'000, 25'000, 50'000, 100'000, 1'000'000};

  AtomicHistogram(std::string name, std::string help);

  // Counts `value` in its bucket. A negative value counts as zero.
  void Observe(Duration value);

  // Returns the histogram with bounds and sum in seconds.
  std::vector<prometheus::MetricFamily> Collect() const override;

 private:
  const std::string name_;
  const std::string help_;
  std::array<std::atomic<std::uint64_t>, kBoundsMicroseconds.size() + 1> counts_{};
  std::atomic<std::uint64_t> sum_microseconds_{0};
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_ADMIN_DETAIL_ATOMIC_HISTOGRAM_H_
