#ifndef PRIMROSEWEIR_BASE_HYBRID_TIME_H_
#define PRIMROSEWEIR_BASE_HYBRID_TIME_H_

#include <cstdint>

namespace primroseweir {

// Hybrid logical time: wall clock microseconds since 1970 and a counter. The counter orders events
// within the same microsecond, and events after a message from a peer whose clock is ahead.
struct HybridTime {
  std::int64_t microseconds = 0;
  std::uint32_t counter = 0;

  friend bool operator<(const HybridTime& a, const HybridTime& b) {
    return a.microseconds != b.microseconds ? a.microseconds < b.microseconds
                                            : a.counter < b.counter;
  }
  friend bool operator==(const HybridTime& a, const HybridTime& b) {
    return a.microseconds == b.microseconds && a.counter == b.counter;
  }
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_HYBRID_TIME_H_
