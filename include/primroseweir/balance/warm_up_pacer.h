#ifndef PRIMROSEWEIR_BALANCE_WARM_UP_PACER_H_
#define PRIMROSEWEIR_BALANCE_WARM_UP_PACER_H_

#include <cstddef>

#include "primroseweir/base/time.h"

namespace primroseweir {

class Random;

// Paces the calls of this instance to one cold upstream.
//
// Load pattern: an upstream that starts, returns or turns cold under full load. All instances
// together must stay below its bound whether or not they are in touch, so each spaces its calls as
// if the whole fleet sent as many; the start is random, so that instances that learn of the
// upstream at the same moment do not send in the same one.
class WarmUpPacer {
 public:
  // What the operators state of a cold upstream, over all instances.
  struct Limits {
    // Calls a second that it bears.
    double rate = 0;
    // Calls in any one second that must never be exceeded.
    double max_rate = 0;

    friend bool operator==(const Limits& a, const Limits& b) {
      return a.rate == b.rate && a.max_rate == b.max_rate;
    }
  };

  // The upstream turned cold.
  void Start(const Limits& limits, std::size_t instances, Instant now, Random* random);

  // Whether a call may be sent now.
  bool IsReady(Instant now) const { return now >= next_; }

  // A call is sent. `instances` is the highest number of instances that may be running.
  void RecordSent(const Limits& limits, std::size_t instances, Instant now);

  // Time between two calls of one instance.
  static Duration Spacing(const Limits& limits, std::size_t instances);

  // Part of the ceiling that the fleet aims at: calls of independent instances bunch at random, and
  // the rest keeps the bunches below the ceiling.
  static constexpr double kMaxUtilization = 0.45;

 private:
  Instant next_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_WARM_UP_PACER_H_
