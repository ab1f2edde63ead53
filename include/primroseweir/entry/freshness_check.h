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
  // `last_heard` tells when a revision was last heard. `refresh` asks peers and platform, for at
  // most the given time.
  FreshnessCheck(std::function<Instant()> last_heard, std::function<void(Duration)> refresh);

  // True when a revision was heard within kMaxAge. Otherwise asks, or waits for another call that
  // asks, and answers false. After a question that nobody answered no further call waits until a
  // revision is heard again, so that an instance that reaches nobody keeps serving.
  bool Ensure(Instant now);

  // Asks when nothing was heard for kRenewAge, at most once in kRenewInterval, so that calls find
  // the configuration fresh unless the process was paused. Call it often from one thread; it blocks
  // for at most kAskTime.
  void KeepFresh(Instant now);

  static constexpr Duration kMaxAge = std::chrono::seconds(3);
  static constexpr Duration kAskTime = std::chrono::milliseconds(200);
  static constexpr Duration kRenewAge = std::chrono::seconds(2);
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(500);

 private:
  bool Fresh(Instant now) const;

  const std::function<Instant()> last_heard_;
  const std::function<void(Duration)> refresh_;
  std::mutex mutex_;
  // What was last heard when a question went unanswered.
  Instant asked_in_vain_ = Instant::max();
  Instant last_renewed_ = Instant::min();
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_FRESHNESS_CHECK_H_
