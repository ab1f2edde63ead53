#ifndef PRIMROSEWEIR_BALANCE_UPSTREAM_PAUSE_H_
#define PRIMROSEWEIR_BALANCE_UPSTREAM_PAUSE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Time for which an upstream asked this instance to send it nothing, and the gradual return of
// calls after it. An upstream states that time with a refusal.
class UpstreamPause {
 public:
  // Returns the duration that the value of a Retry-After field states: a positive decimal number of
  // seconds, with or without a fraction, limited to kMaxPause. Returns no value for zero and for
  // other text, which ask for no pause.
  static std::optional<Duration> ParseDuration(const std::string& text);

  // Starts a pause of `duration`, or extends the present one. One that ends sooner than the present
  // one, or has no length, has no effect.
  void Start(Duration duration, Instant now);
  bool is_active(Instant now) const { return now < end_; }
  Instant end() const { return end_; }
  // Returns how many calls of this instance the upstream may execute at once: none during a pause,
  // one at its end, and from then on more in proportion to the time, up to `limit` after
  // kReturnTime.
  std::uint32_t MaxInFlight(std::uint32_t limit, Instant now) const;

  // Upper bound of a pause. A wrong unit, such as milliseconds in place of seconds, must not take
  // an upstream out of use for days.
  static constexpr Duration kMaxPause = std::chrono::minutes(10);
  // Time in which the calls return after a pause, since all instances that the upstream refused
  // would otherwise return at the same moment. Several calls of usual length end within it, so that
  // the load reports show how much room the upstream has.
  static constexpr Duration kReturnTime = std::chrono::seconds(1);

 private:
  Instant end_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_UPSTREAM_PAUSE_H_
