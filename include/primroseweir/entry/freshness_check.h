#ifndef PRIMROSEWEIR_ENTRY_FRESHNESS_CHECK_H_
#define PRIMROSEWEIR_ENTRY_FRESHNESS_CHECK_H_

#include <chrono>
#include <functional>
#include <mutex>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Keeps an instance that was paused or cut off from dispatching by an old configuration (design
// 7.7). Safe for many threads; takes no lock while the configuration is fresh.
class FreshnessCheck {
 public:
  // `last_contact` tells when a revision was last heard. `refresh` asks peers and platform, for at
  // most the given time.
  FreshnessCheck(std::function<Instant()> last_contact, std::function<void(Duration)> refresh);

  // True when a revision was heard within kMaxAge. Otherwise asks, or waits for another call that
  // asks, and answers false. After a question that nobody answered no further call waits until a
  // revision is heard again, so that an instance that reaches nobody keeps serving.
  bool EnsureFresh(Instant now);

  // Asks when nothing was heard for kRefreshAge, at most once in kRefreshInterval, so that calls
  // find the configuration fresh unless the process was paused. Call it often from one thread; it
  // blocks for at most kRefreshTimeout.
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
  // What was last heard when a question went unanswered.
  Instant last_failed_refresh_ = Instant::max();
  Instant last_refresh_ = Instant::min();
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_FRESHNESS_CHECK_H_
