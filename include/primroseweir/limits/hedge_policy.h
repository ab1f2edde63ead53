#ifndef PRIMROSEWEIR_LIMITS_HEDGE_POLICY_H_
#define PRIMROSEWEIR_LIMITS_HEDGE_POLICY_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Tells after what time a call of one service may be hedged: the 90th percentile of the service's
// times to the head (design 7.5), from a histogram with 4 buckets per power of two that forgets
// older calls by halving. Safe for many threads, without locks; concurrent updates may lose counts.
class HedgePolicy {
 public:
  // What decides whether a call may be hedged at all.
  struct Call {
    bool get = false;
    bool idempotent = false;
    // Depth of nested calls, 0 for the caller's own.
    std::uint32_t depth = 0;
  };

  // A first attempt's head arrived after `time_to_head`.
  void Record(Duration time_to_head);

  // Time after which the call may be hedged; nothing when it may not, or before kMinimumCalls calls
  // were recorded. Rounded up to the bucket's end, by at most a quarter.
  std::optional<Duration> Delay(const Call& call) const;

  static constexpr std::uint32_t kMinimumCalls = 100;
  static constexpr double kPercentile = 0.90;
  // The counts are halved when their sum reaches this.
  static constexpr std::uint32_t kMaxRecordedCalls = 8192;

 private:
  static constexpr std::size_t kBuckets = 128;
  // The percentile is computed anew after this many calls.
  static constexpr std::uint32_t kRefresh = 64;

  static std::size_t BucketOf(Duration time);
  static Duration UpperBoundOf(std::size_t bucket);
  void Refresh();

  std::array<std::atomic<std::uint32_t>, kBuckets> counts_{};
  std::atomic<std::uint32_t> recorded_{0};
  std::atomic<Duration::rep> delay_{0};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_HEDGE_POLICY_H_
