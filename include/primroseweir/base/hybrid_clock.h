#ifndef PRIMROSEWEIR_BASE_HYBRID_CLOCK_H_
#define PRIMROSEWEIR_BASE_HYBRID_CLOCK_H_

#include <cstdint>
#include <mutex>

#include "primroseweir/base/hybrid_time.h"

namespace primroseweir {

// Hybrid logical clock of one process. The receipt of a message always gets a later time than its
// sending, even if the wall clocks of the machines differ by up to kMaxSkewMicroseconds.
// Thread-safe.
class HybridClock {
 public:
  // Advances the clock and returns the time of a local event or of a message to send.
  // `wall_microseconds` is the current wall time.
  HybridTime Tick(std::int64_t wall_microseconds);

  // Merges the time of a received message and returns the time of its receipt. Ignores a remote
  // time that is more than kMaxSkewMicroseconds ahead of the wall time, so that one wrong clock
  // can't advance the clocks of the whole fleet.
  HybridTime Observe(const HybridTime& remote, std::int64_t wall_microseconds);

  static constexpr std::int64_t kMaxSkewMicroseconds = 60'000'000;

 private:
  std::mutex mutex_;
  HybridTime last_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_HYBRID_CLOCK_H_
