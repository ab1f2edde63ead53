#ifndef PRIMROSEWEIR_BALANCE_WINDOWED_RETRY_BUDGET_H_
#define PRIMROSEWEIR_BALANCE_WINDOWED_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Decides whether this instance may send a call of one service once more, so that the repeats of
// all instances together stay below a fixed budget in every window.
//
// Load pattern: upstreams that fail or stall in part, under callers that repeat by themselves.
// Each instance spends in proportion to its own first sends, which add up over the fleet whatever
// the instances know of each other; only the fixed allowance is divided by the fleet's size.
class WindowedRetryBudget {
 public:
  // Budget over all instances: `ratio` of the calls in `window` plus `allowance`.
  struct Limits {
    double ratio = 0.2;
    double allowance = 0;
    Duration window = std::chrono::seconds(10);
  };

  explicit WindowedRetryBudget(const Limits& limits);

  // A call was sent for the first time.
  void RecordFirstAttempt(Instant now);

  // Takes the permission for one repeat; false when the budget is used up. `instances` is the
  // highest number of instances that may be running.
  bool TryAcquire(std::size_t instances, Instant now);

  // First sends and repeats in the window that ends now.
  std::uint64_t first_attempts(Instant now);
  std::uint64_t retries(Instant now);

  // Part of the budget that is used. The rest covers sends that other instances count in another
  // window than the upstream does: a window here is up to one bucket, a fiftieth, shorter.
  static constexpr double kMaxUtilization = 0.9;

 private:
  static constexpr std::int64_t kBuckets = 50;
  struct Bucket {
    std::int64_t number = -1;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };

  Bucket& At(Instant now);
  std::uint64_t Sum(std::uint32_t Bucket::*member, Instant now);

  const Limits limits_;
  std::array<Bucket, std::size_t{kBuckets}> buckets_{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_WINDOWED_RETRY_BUDGET_H_
