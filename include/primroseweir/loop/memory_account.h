#ifndef PRIMROSEWEIR_LOOP_MEMORY_ACCOUNT_H_
#define PRIMROSEWEIR_LOOP_MEMORY_ACCOUNT_H_

#include <algorithm>
#include <cstdint>

namespace primroseweir {

// The memory that peers make this process hold: connections, input, heads, bodies, copies kept for
// a retry, and bytes that wait to be written. What the process holds of its own, such as the
// published state, is not counted. Three levels, from the first that is reached: short (copies for
// retries are given up), over (connections are closed by ConnectionEviction, large requests
// refused) and exhausted (also small requests refused).
class MemoryAccount {
 public:
  // Returns the budget on a machine with `machine_bytes` of memory: less than a third, since the
  // bytes that wait in the kernel's socket buffers and free memory between allocations come on top.
  static constexpr std::int64_t BudgetFor(std::int64_t machine_bytes) {
    return machine_bytes / 10 * 3;
  }

  void SetBudget(std::int64_t bytes) { budget_bytes_ = bytes; }
  // Adds `change`, which may be negative, to the bytes held.
  void Charge(std::int64_t change) {
    held_bytes_ += change;
    peak_bytes_ = std::max(peak_bytes_, held_bytes_);
  }

  std::int64_t held_bytes() const { return held_bytes_; }
  std::int64_t peak_bytes() const { return peak_bytes_; }
  std::int64_t budget_bytes() const { return budget_bytes_; }
  bool is_short() const { return held_bytes_ > budget_bytes_ / 4 * 3; }
  bool is_over() const { return held_bytes_ > budget_bytes_; }
  bool is_exhausted() const { return held_bytes_ > budget_bytes_ + budget_bytes_ / 8; }
  // Bytes to release before held_bytes() is clearly below the budget; 0 unless it is exceeded.
  std::int64_t excess_bytes() const { return is_over() ? held_bytes_ - budget_bytes_ / 8 * 7 : 0; }

  // The smallest machines of the users have 160 MB.
  static constexpr std::int64_t kDefaultMachineBytes = std::int64_t{160} * 1024 * 1024;

 private:
  std::int64_t budget_bytes_ = BudgetFor(kDefaultMachineBytes);
  std::int64_t held_bytes_ = 0;
  std::int64_t peak_bytes_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_MEMORY_ACCOUNT_H_
