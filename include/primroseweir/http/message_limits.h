#ifndef PRIMROSEWEIR_HTTP_MESSAGE_LIMITS_H_
#define PRIMROSEWEIR_HTTP_MESSAGE_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Limits of section 5 of the design.
struct MessageLimits {
  std::size_t head_bytes = std::size_t{16} * 1024;
  std::size_t fields = 100;
  // Time from the first byte of a head to its end.
  Duration head_timeout = std::chrono::seconds(10);
  // Longest pause of a body, in either direction.
  Duration body_idle_timeout = std::chrono::seconds(30);
  // Longest wait for the next request on a kept connection.
  Duration idle_timeout = std::chrono::seconds(120);
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_MESSAGE_LIMITS_H_
