#include "primroseweir/limits/hedge_policy.h"

#include <algorithm>
#include <cmath>

namespace primroseweir {
namespace {

// The histogram counts times in microseconds, with 4 buckets per power of two.
constexpr unsigned kSubBucketBits = 2;
constexpr std::uint64_t kSubBuckets = 1U << kSubBucketBits;

unsigned HighestBit(std::uint64_t value) {
  return 63U - static_cast<unsigned>(__builtin_clzll(value));
}

}  // namespace

std::size_t HedgePolicy::BucketOf(Duration time) {
  const std::int64_t microseconds = ToMicroseconds(time);
  const std::uint64_t value = microseconds < 0 ? 0 : static_cast<std::uint64_t>(microseconds);
  if (value < kSubBuckets) return value;
  const unsigned shift = HighestBit(value) - kSubBucketBits;
  const std::size_t bucket = (shift + 1) * kSubBuckets + ((value >> shift) - kSubBuckets);
  return std::min(bucket, kBuckets - 1);
}

Duration HedgePolicy::UpperBoundOf(std::size_t bucket) {
  if (bucket < kSubBuckets) return std::chrono::microseconds(bucket + 1);
  const std::uint64_t shift = bucket / kSubBuckets - 1;
  const std::uint64_t start = bucket % kSubBuckets + kSubBuckets;
  return std::chrono::microseconds((start + 1) << shift);
}

void HedgePolicy::Record(Duration time_to_head) {
  counts_[BucketOf(time_to_head)].fetch_add(1, std::memory_order_relaxed);
  const std::uint32_t recorded = recorded_.fetch_add(1, std::memory_order_relaxed) + 1;
  if (recorded >= kMinCalls && (recorded == kMinCalls || recorded % kCallsPerRefresh == 0)) {
    UpdateDelay();
  }
}

std::optional<Duration> HedgePolicy::Delay(const Call& call) const {
  const Duration::rep delay = delay_.load(std::memory_order_relaxed);
  if (!call.get || !call.is_idempotent || call.depth > 0 || delay == 0) return std::nullopt;
  return Duration(delay);
}

void HedgePolicy::UpdateDelay() {
  std::uint64_t total = 0;
  for (const auto& count : counts_) total += count.load(std::memory_order_relaxed);
  const auto target_count =
      static_cast<std::uint64_t>(std::ceil(static_cast<double>(total) * kPercentile));
  std::uint64_t cumulative_count = 0;
  std::size_t bucket = 0;
  while (bucket < kBuckets - 1) {
    cumulative_count += counts_[bucket].load(std::memory_order_relaxed);
    if (cumulative_count >= target_count) break;
    ++bucket;
  }
  delay_.store(UpperBoundOf(bucket).count(), std::memory_order_relaxed);
  if (total < kMaxRecordedCalls) return;
  for (auto& count : counts_) {
    const std::uint32_t half = count.load(std::memory_order_relaxed) / 2;
    count.fetch_sub(half, std::memory_order_relaxed);
  }
}

}  // namespace primroseweir
