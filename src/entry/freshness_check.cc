#include "primroseweir/entry/freshness_check.h"

#include <utility>

namespace primroseweir {

FreshnessCheck::FreshnessCheck(std::function<Instant()> last_contact,
                               std::function<void(Duration)> refresh)
    : last_contact_(std::move(last_contact)), refresh_(std::move(refresh)) {}

bool FreshnessCheck::EnsureFresh(Instant now) {
  if (IsFresh(now)) {
    return true;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  // Another thread may have refreshed while this one waited for the lock.
  if (IsFresh(now)) {
    return false;
  }
  if (contact_at_failed_refresh_ == last_contact_()) {
    return true;
  }
  refresh_(kRefreshTimeout);
  if (!IsFresh(now)) {
    contact_at_failed_refresh_ = last_contact_();
  }
  return false;
}

void FreshnessCheck::KeepFresh(Instant now) {
  if (last_contact_() + kRefreshAge >= now || now < last_refresh_ + kRefreshInterval) {
    return;
  }
  last_refresh_ = now;
  refresh_(kRefreshTimeout);
}

bool FreshnessCheck::IsFresh(Instant now) const { return last_contact_() + kMaxAge >= now; }

}  // namespace primroseweir
