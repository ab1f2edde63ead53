#ifndef PRIMROSEWEIR_LIMITS_RETRY_BUDGET_H_
#define PRIMROSEWEIR_LIMITS_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace primroseweir {

// Retry budget of one service at this instance: retries and hedges together may be at most 10% of
// the first attempts. A token bucket with a capacity of 10 retries, which starts empty. Thread-safe
// without locks.
class RetryBudget {
 public:
  // Records that a call was sent for the first time, which adds a tenth of a retry up to the
  // capacity.
  void RecordFirstAttempt();

  // Takes the permit for one retry or hedge. Returns false when less than one is left.
  bool TryAcquire();

  // Returns the number of retries and hedges that may be sent now.
  std::uint32_t available() const {
    return tenths_.load(std::memory_order_relaxed) / kTenthsPerRetry;
  }

  // Permits are counted in tenths of a retry, one for each first attempt.
  static constexpr std::uint32_t kTenthsPerRetry = 10;
  static constexpr std::uint32_t kCapacityTenths = 10 * kTenthsPerRetry;

 private:
  std::atomic<std::uint32_t> tenths_{0};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_RETRY_BUDGET_H_
