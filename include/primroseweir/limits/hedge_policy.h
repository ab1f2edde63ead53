#ifndef PRIMROSEWEIR_LIMITS_HEDGE_POLICY_H_
#define PRIMROSEWEIR_LIMITS_HEDGE_POLICY_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Computes the delay after which a call of one service may be hedged: the 90th percentile of the
// service's times to the response head, from a histogram with 4 buckets per power of two. Halving
// the counts reduces the weight of older calls. Thread-safe without locks; concurrent updates may
// lose counts.
class HedgePolicy {
 public:
  // Properties of a call that decide whether it may be hedged.
  struct Call {
    bool get = false;
    bool is_idempotent = false;
    // Depth of nested calls; 0 for a call that a caller made itself.
    std::uint32_t depth = 0;
  };

  // Records that the response head of an attempt arrived after `time_to_head`.
  void Record(Duration time_to_head);

  // Returns the time after which the call may be hedged; nullopt when it may not be, or before
  // kMinCalls calls were recorded. The percentile is rounded up to the upper bound of its bucket,
  // which adds at most a quarter (1 us for times below 4 us).
  std::optional<Duration> Delay(const Call& call) const;

  static constexpr std::uint32_t kMinCalls = 100;
  static constexpr double kPercentile = 0.90;
  // The counts are halved when the delay is computed and their sum has reached this.
  static constexpr std::uint32_t kMaxRecordedCalls = 8192;

 private:
  static constexpr std::size_t kBuckets = 128;
  // The delay is computed again after this many calls.
  static constexpr std::uint32_t kCallsPerRefresh = 64;

  static std::size_t BucketOf(Duration time);
  static Duration UpperBoundOf(std::size_t bucket);
  void UpdateDelay();

  std::array<std::atomic<std::uint32_t>, kBuckets> counts_{};
  std::atomic<std::uint32_t> recorded_{0};
  std::atomic<Duration::rep> delay_{0};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_HEDGE_POLICY_H_
