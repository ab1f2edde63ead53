#ifndef PRIMROSEWEIR_BASE_HYBRID_CLOCK_H_
#define PRIMROSEWEIR_BASE_HYBRID_CLOCK_H_

#include <cstdint>
#include <mutex>

#include "primroseweir/base/hybrid_time.h"

namespace primroseweir {

// Hybrid logical clock of one process. An event that follows from a received message always gets a
// later time than the message, although the machines' clocks differ. Safe for several threads.
class HybridClock {
 public:
  // The time of a local event or of a message to send. `wall_microseconds` is the present wall
  // time.
  HybridTime Tick(std::int64_t wall_microseconds);

  // Takes over the time of a received message and answers the time of its receipt. A remote time
  // more than kMaxSkew ahead is not taken over, so that one wrong clock can't move the whole
  // fleet's.
  HybridTime Observe(const HybridTime& remote, std::int64_t wall_microseconds);

  static constexpr std::int64_t kMaxSkewMicroseconds = 60'000'000;

 private:
  std::mutex mutex_;
  HybridTime last_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_HYBRID_CLOCK_H_
