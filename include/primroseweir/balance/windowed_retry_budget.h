#ifndef PRIMROSEWEIR_BALANCE_WINDOWED_RETRY_BUDGET_H_
#define PRIMROSEWEIR_BALANCE_WINDOWED_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Retry budget of one service at one instance. Permits retries so that those of all instances
// together stay within fixed limits in every window.
//
// Load pattern: upstreams at which a part of the calls fails or stalls, under callers that also
// retry on their own. Each instance retries in proportion to its own first attempts; these shares
// add up over the fleet even if the instances know nothing of each other. Only the fixed allowance
// is divided by the fleet size.
class WindowedRetryBudget {
 public:
  // Retries allowed for all instances together: `ratio` of the first attempts in `window`, plus
  // `allowance`.
  struct Limits {
    double ratio = 0.2;
    double allowance = 0;
    Duration window = std::chrono::seconds(10);
    // Start of the process. In the first window after it, the allowance grows with the time since
    // then: an earlier process of this instance may have spent its share in the same window.
    Instant started_at{};
  };

  explicit WindowedRetryBudget(const Limits& limits);

  // Records the first attempt of a call.
  void RecordFirstAttempt(Instant now);

  // Acquires permission for one retry. Returns false when the budget is exhausted. `instances` is
  // the highest number of instances that may be running.
  bool TryAcquire(std::size_t instances, Instant now);

  // Returns the retries that this instance may send in the window that ends now.
  double MaxRetries(std::size_t instances, Instant now);
  // Return the first attempts and retries of this instance in the window that ends now.
  std::uint64_t first_attempts(Instant now);
  std::uint64_t retries(Instant now);

  // Fraction of the budget that is used. The rest covers attempts that instances count in another
  // window than the upstream does: the window here is shorter by up to one bucket, a fiftieth.
  static constexpr double kMaxUtilization = 0.9;

 private:
  static constexpr std::int64_t kBuckets = 50;
  struct Bucket {
    std::int64_t number = -1;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };

  Bucket& BucketAt(Instant now);
  // Returns the part of the allowance that this process may use by now, between 0 and 1.
  double AllowancePart(Instant now) const;
  std::uint64_t SumOverWindow(std::uint32_t Bucket::*counter, Instant now);

  const Limits limits_;
  std::array<Bucket, std::size_t{kBuckets}> buckets_{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_WINDOWED_RETRY_BUDGET_H_
