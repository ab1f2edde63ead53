#include "primroseweir/entry/freshness_check.h"

#include <utility>

namespace primroseweir {

FreshnessCheck::FreshnessCheck(std::function<Instant()> last_heard,
                               std::function<void(Duration)> refresh)
    : last_heard_(std::move(last_heard)), refresh_(std::move(refresh)) {}

bool FreshnessCheck::Ensure(Instant now) {
  if (last_heard_() + kMaxAge >= now) {
    return true;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  // Another call may have asked meanwhile.
  if (last_heard_() + kMaxAge >= now) {
    return false;
  }
  if (last_asked_ != Instant::min() && now < last_asked_ + kAskInterval) {
    return true;
  }
  last_asked_ = now;
  refresh_(kAskTime);
  return false;
}

}  // namespace primroseweir
