#include "primroseweir/limits/retry_budget.h"

namespace primroseweir {

void RetryBudget::RecordFirstAttempt() {
  std::uint32_t present = tenths_.load(std::memory_order_relaxed);
  while (present < kCapacity) {
    if (tenths_.compare_exchange_weak(present, present + 1, std::memory_order_relaxed)) return;
  }
}

bool RetryBudget::TryAcquire() {
  std::uint32_t present = tenths_.load(std::memory_order_relaxed);
  while (present >= kCost) {
    if (tenths_.compare_exchange_weak(present, present - kCost, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace primroseweir
