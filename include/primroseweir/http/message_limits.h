#ifndef PRIMROSEWEIR_HTTP_MESSAGE_LIMITS_H_
#define PRIMROSEWEIR_HTTP_MESSAGE_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Size limits and timeouts of HTTP messages.
struct MessageLimits {
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_fields = 100;
  // Maximum time from the first byte of a head to its end.
  Duration head_timeout = std::chrono::seconds(10);
  // Maximum time without progress while a body is received or a message is sent.
  Duration body_idle_timeout = std::chrono::seconds(30);
  // Maximum wait for the next request on a persistent connection.
  Duration idle_timeout = std::chrono::seconds(120);
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_MESSAGE_LIMITS_H_
