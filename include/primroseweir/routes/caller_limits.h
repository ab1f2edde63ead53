#ifndef PRIMROSEWEIR_ROUTES_CALLER_LIMITS_H_
#define PRIMROSEWEIR_ROUTES_CALLER_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "primroseweir/base/time.h"

namespace primroseweir {

// What callers may send. The defaults hold until a configuration states others.
struct CallerLimits {
  std::size_t head_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  // Time from the first byte of a head to its end.
  Duration head_timeout = std::chrono::seconds(10);
  // Longest pause between two requests on a connection.
  Duration idle_timeout = std::chrono::seconds(60);
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTES_CALLER_LIMITS_H_
