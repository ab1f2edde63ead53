#include "primroseweir/limits/retry_budget.h"

namespace primroseweir {

void RetryBudget::RecordFirstAttempt() {
  std::uint32_t current = tenths_.load(std::memory_order_relaxed);
  while (current < kCapacityTenths) {
    if (tenths_.compare_exchange_weak(current, current + 1, std::memory_order_relaxed)) return;
  }
}

bool RetryBudget::TryAcquire() {
  std::uint32_t current = tenths_.load(std::memory_order_relaxed);
  while (current >= kTenthsPerRetry) {
    if (tenths_.compare_exchange_weak(current, current - kTenthsPerRetry,
                                      std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace primroseweir
