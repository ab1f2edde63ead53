#ifndef PRIMROSEWEIR_BALANCE_WARM_UP_PACER_H_
#define PRIMROSEWEIR_BALANCE_WARM_UP_PACER_H_

#include <cstddef>

#include "primroseweir/base/time.h"

namespace primroseweir {

class Random;

// Paces the calls of this instance to one cold upstream.
//
// Load pattern: an upstream that starts, returns or turns cold under full load. All instances
// together must stay within its limits whether or not they can reach each other, so each spaces
// its calls as if every instance of the fleet sent as many. The first call is delayed at random, so
// that instances that learn of the upstream at the same moment do not send at the same moment.
class WarmUpPacer {
 public:
  // Limits of a cold upstream for all instances together, derived from the configuration.
  struct Limits {
    // Sustained rate in calls per second.
    double rate = 0;
    // Maximum number of calls in any one second; must never be exceeded.
    double max_rate = 0;

    friend bool operator==(const Limits& a, const Limits& b) {
      return a.rate == b.rate && a.max_rate == b.max_rate;
    }
  };

  // Starts pacing when the upstream becomes cold.
  void Start(const Limits& limits, std::size_t instances, Instant now, Random* random);

  // Returns whether a call may be sent now.
  bool IsReady(Instant now) const { return now >= next_call_at_; }

  // Records that a call is sent. `instances` is the highest number of instances that may be
  // running.
  void RecordSent(const Limits& limits, std::size_t instances, Instant now);

  // Returns the time between two calls of one instance.
  static Duration Spacing(const Limits& limits, std::size_t instances);

  // Fraction of `max_rate` that the fleet aims at: the calls of independent instances bunch at
  // random, and the margin keeps the bunches below `max_rate`.
  static constexpr double kMaxUtilization = 0.45;

 private:
  Instant next_call_at_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_WARM_UP_PACER_H_
