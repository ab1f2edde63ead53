#include "primroseweir/entry/freshness_check.h"

#include <utility>

namespace primroseweir {

FreshnessCheck::FreshnessCheck(std::function<Instant()> last_heard,
                               std::function<void(Duration)> refresh)
    : last_heard_(std::move(last_heard)), refresh_(std::move(refresh)) {}

bool FreshnessCheck::Ensure(Instant now) {
  if (Fresh(now)) {
    return true;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  // Another call may have asked meanwhile.
  if (Fresh(now)) {
    return false;
  }
  if (asked_in_vain_ == last_heard_()) {
    return true;
  }
  refresh_(kAskTime);
  if (!Fresh(now)) {
    asked_in_vain_ = last_heard_();
  }
  return false;
}

void FreshnessCheck::KeepFresh(Instant now) {
  if (last_heard_() + kRenewAge >= now || now < last_renewed_ + kRenewInterval) {
    return;
  }
  last_renewed_ = now;
  refresh_(kAskTime);
}

bool FreshnessCheck::Fresh(Instant now) const { return last_heard_() + kMaxAge >= now; }

}  // namespace primroseweir
