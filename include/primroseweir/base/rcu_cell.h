#ifndef PRIMROSEWEIR_BASE_RCU_CELL_H_
#define PRIMROSEWEIR_BASE_RCU_CELL_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

#include "primroseweir/base/rcu.h"

namespace primroseweir {

// Holds an immutable value that is read often and replaced rarely. Thread-safe. Readers take no
// lock; a writer waits until no reader accesses the old pointer any more.
template <typename T>
class RcuCell {
 public:
  explicit RcuCell(std::shared_ptr<const T> value)
      : current_(new std::shared_ptr<const T>(std::move(value))) {}
  ~RcuCell() { delete current_.load(); }
  RcuCell(const RcuCell&) = delete;
  RcuCell& operator=(const RcuCell&) = delete;

  // Returns the current value, which stays valid as long as the caller holds the pointer. Constant
  // time.
  std::shared_ptr<const T> Load() const {
    RcuReadLock lock;
    return *current_.load(std::memory_order_acquire);
  }

  // Replaces the value. Blocks for an RCU grace period, so do not call it on the request path.
  void Store(std::shared_ptr<const T> value) {
    auto* replacement = new std::shared_ptr<const T>(std::move(value));
    const std::lock_guard<std::mutex> lock(writer_mutex_);
    auto* old = current_.exchange(replacement, std::memory_order_acq_rel);
    RcuSynchronize();
    delete old;
  }

 private:
  std::atomic<std::shared_ptr<const T>*> current_;
  std::mutex writer_mutex_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_RCU_CELL_H_
