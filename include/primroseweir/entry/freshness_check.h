#ifndef PRIMROSEWEIR_ENTRY_FRESHNESS_CHECK_H_
#define PRIMROSEWEIR_ENTRY_FRESHNESS_CHECK_H_

#include <chrono>
#include <functional>
#include <mutex>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Prevents an instance that was paused or partitioned from dispatching calls with a stale
// configuration. Thread-safe except for KeepFresh. EnsureFresh takes no lock while the
// configuration is fresh.
class FreshnessCheck {
 public:
  // `last_contact` returns when a peer or the platform last confirmed the revision in force or
  // reported a newer one. `refresh` queries peers and platform and blocks for at most the given
  // time.
  FreshnessCheck(std::function<Instant()> last_contact, std::function<void(Duration)> refresh);

  // Returns true if the last contact is at most kMaxAge old. Otherwise runs a refresh, or waits for
  // the refresh of another thread, and returns false. After a refresh that brought no contact, it
  // returns true without another refresh until the next contact, so that an instance that reaches
  // neither peers nor platform keeps serving and its calls do not each wait for a refresh.
  bool EnsureFresh(Instant now);

  // Runs a refresh when the last contact is older than kRefreshAge, at most once per
  // kRefreshInterval, so that calls find the configuration fresh unless the process was paused.
  // Call it often, from one thread. Blocks for at most kRefreshTimeout.
  void KeepFresh(Instant now);

  static constexpr Duration kMaxAge = std::chrono::seconds(3);
  static constexpr Duration kRefreshTimeout = std::chrono::milliseconds(200);
  static constexpr Duration kRefreshAge = std::chrono::seconds(2);
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(500);

 private:
  bool IsFresh(Instant now) const;

  const std::function<Instant()> last_contact_;
  const std::function<void(Duration)> refresh_;
  std::mutex mutex_;
  // Last contact at the time of the last failed refresh.
  Instant contact_at_failed_refresh_ = Instant::max();
  Instant last_refresh_ = Instant::min();
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_FRESHNESS_CHECK_H_
