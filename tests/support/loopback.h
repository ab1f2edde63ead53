#ifndef PRIMROSEWEIR_TESTS_SUPPORT_LOOPBACK_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_LOOPBACK_H_

#include <cstdint>
#include <string>

#include "primroseweir/base/random.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {

// Returns a random address in 127.0.0.0/8 with port 0, so that concurrent test processes do not
// compete for the same address and port.
inline SocketAddress RandomLoopback() {
  thread_local Random random(EntropySeed());
  const auto octet = [] { return std::to_string(1 + random.UniformBelow(250)); };
  return {"127." + octet() + "." + octet() + "." + octet(), 0};
}

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_LOOPBACK_H_
