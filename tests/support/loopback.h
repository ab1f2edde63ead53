#ifndef PRIMROSEWEIR_TESTS_SUPPORT_LOOPBACK_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_LOOPBACK_H_

#include <cstdint>
#include <string>

#include "primroseweir/base/random.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {

// A random address in 127.0.0.0/8 with port 0, so that test processes that run at the same time
// don't meet on one port.
inline SocketAddress RandomLoopback() {
  thread_local Random random(EntropySeed());
  const auto part = [] { return std::to_string(1 + random.Below(250)); };
  return {"127." + part() + "." + part() + "." + part(), 0};
}

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_LOOPBACK_H_
