#ifndef PRIMROSEWEIR_BASE_HYBRID_TIME_H_
#define PRIMROSEWEIR_BASE_HYBRID_TIME_H_

#include <cstdint>

namespace primroseweir {

// A hybrid logical time: wall clock microseconds and a counter that orders events within one
// microsecond or behind a faster clock of a peer.
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
