#ifndef PRIMROSEWEIR_ROUTES_CALLER_LIMITS_H_
#define PRIMROSEWEIR_ROUTES_CALLER_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Limits on requests from callers. The defaults apply until a configuration sets others.
struct CallerLimits {
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  // Maximum time from the first byte of a request head to its end.
  Duration head_timeout = std::chrono::seconds(10);
  // Maximum idle time between two requests on a connection.
  Duration idle_timeout = std::chrono::seconds(60);
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTES_CALLER_LIMITS_H_
