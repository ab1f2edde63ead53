#include "primroseweir/admin/detail/atomic_histogram.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace primroseweir::detail {

AtomicHistogram::AtomicHistogram(std::string name, std::string help)
    : name_(std::move(name)), help_(std::move(help)) {}

void AtomicHistogram::Observe(Duration value) {
  const std::int64_t microseconds = std::max<std::int64_t>(ToMicroseconds(value), 0);
  const auto bound =
      std::lower_bound(kBoundsMicroseconds.begin(), kBoundsMicroseconds.end(), microseconds);
  counts_[static_cast<std::size_t>(bound - kBoundsMicroseconds.begin())].fetch_add(
      1, std::memory_order_relaxed);
  sum_microseconds_.fetch_add(static_cast<std::uint64_t>(microseconds), std::memory_order_relaxed);
}

std::vector<prometheus::MetricFamily> AtomicHistogram::Collect() const {
  prometheus::ClientMetric metric;
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    total += counts_[i].load(std::memory_order_relaxed);
    prometheus::ClientMetric::Bucket bucket;
    bucket.cumulative_count = total;
    bucket.upper_bound = i < kBoundsMicroseconds.size()
                             ? static_cast<double>(kBoundsMicroseconds[i]) / 1e6
                             : std::numeric_limits<double>::infinity();
    metric.histogram.bucket.push_back(bucket);
  }
  metric.histogram.sample_count = total;
  metric.histogram.sample_sum =
      static_cast<double>(sum_microseconds_.load(std::memory_order_relaxed)) / 1e6;
  return {{name_, help_, prometheus::MetricType::Histogram, {std::move(metric)}}};
}

}  // namespace primroseweir::detail
