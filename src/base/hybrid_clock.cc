#include "primroseweir/base/hybrid_clock.h"

#include <algorithm>

namespace primroseweir {

HybridTime HybridClock::Tick(std::int64_t wall_microseconds) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (wall_microseconds > last_.microseconds) {
    last_ = {wall_microseconds, 0};
  } else {
    ++last_.counter;
  }
  return last_;
}

HybridTime HybridClock::Observe(const HybridTime& remote, std::int64_t wall_microseconds) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool is_plausible = remote.microseconds <= wall_microseconds + kMaxSkewMicroseconds;
    if (is_plausible) last_ = std::max(last_, remote);
  }
  return Tick(wall_microseconds);
}

}  // namespace primroseweir
