#ifndef PRIMROSEWEIR_BALANCE_CUSTOMER_RETRY_BUDGET_H_
#define PRIMROSEWEIR_BALANCE_CUSTOMER_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "primroseweir/balance/windowed_retry_budget.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Retry budget of one service at one instance that is shared among customers. Each customer may use
// the part of the budget that its own first attempts add to it, or twice an equal part if that is
// more. It may use more only while half of the whole budget is unused.
//
// Load pattern: one customer with many times its usual calls, all of which fail and are retried,
// beside customers with a failing call now and then.
class CustomerRetryBudget {
 public:
  explicit CustomerRetryBudget(const WindowedRetryBudget::Limits& limits);

  // Records the first attempt of a call. Calls without a customer share one place.
  void RecordFirstAttempt(std::optional<std::uint64_t> customer, Instant now);
  // Acquires permission for one retry or hedge; see WindowedRetryBudget::TryAcquire.
  bool TryAcquire(std::optional<std::uint64_t> customer, std::size_t instances, Instant now);

  // Number of customers that are remembered.
  std::size_t size() const { return customers_.size(); }

  // Least part that a customer may use, in equal parts. With one, customers with few calls, whose
  // failures vary, were refused one retry in seven beside a customer that uses up its own part.
  static constexpr double kLeastPart = 2;
  // Part of the budget that any customer may use before its own part is used up.
  static constexpr double kSharedPart = 0.5;

 private:
  // The window of a customer is longer than that of the budget by up to a tenth.
  static constexpr std::int64_t kBuckets = 11;
  struct Bucket {
    std::int64_t number = -1;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };
  struct Usage {
    std::array<Bucket, std::size_t{kBuckets}> buckets{};
    std::int64_t newest = 0;
  };

  std::int64_t NumberAt(Instant now) const;
  Bucket& BucketAt(std::optional<std::uint64_t> customer, Instant now);
  // Removes customers without calls in the window, once in a window.
  void Sweep(std::int64_t number);

  const Duration bucket_length_;
  WindowedRetryBudget budget_;
  std::unordered_map<std::uint64_t, Usage> customers_;
  std::int64_t swept_at_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_CUSTOMER_RETRY_BUDGET_H_
