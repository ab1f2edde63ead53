#ifndef PRIMROSEWEIR_BASE_TIME_H_
#define PRIMROSEWEIR_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace primroseweir {

// Monotonic time. Functions that make decisions take it as an argument and never read a clock.
using Instant = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

inline Instant MonotonicNow() { return std::chrono::steady_clock::now(); }

// Returns microseconds since 1970 by the wall clock of this machine. The clocks of instances may
// differ.
inline std::int64_t WallMicroseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

inline std::int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_TIME_H_
