#ifndef PRIMROSEWEIR_LIMITS_RETRY_BUDGET_H_
#define PRIMROSEWEIR_LIMITS_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace primroseweir {

// Retries and hedges of one service at one instance: together at most 10% of the first attempts
// (design 7.5). A token bucket with room for 10 that starts empty. Safe for many threads, without
// locks.
class RetryBudget {
 public:
  // A call was sent for the first time.
  void RecordFirstAttempt();

  // Takes the permission for one retry or hedge.
  bool TryAcquire();

  // Retries that may be sent at once.
  std::uint32_t available() const { return tenths_.load(std::memory_order_relaxed) / kCost; }

  // In tenths of a retry: each first attempt earns one.
  static constexpr std::uint32_t kCost = 10;
  static constexpr std::uint32_t kCapacity = 10 * kCost;

 private:
  std::atomic<std::uint32_t> tenths_{0};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_RETRY_BUDGET_H_
