#ifndef PRIMROSEWEIR_LIMITS_CRASH_STRIKE_H_
#define PRIMROSEWEIR_LIMITS_CRASH_STRIKE_H_

#include <cstdint>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// One upstream that was lost while it ran a request, as instances exchange it.
struct CrashStrike {
  // Hash of the request's method, target and body.
  std::uint64_t fingerprint = 0;
  UpstreamId upstream;
  // Time since the loss.
  Duration age{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_CRASH_STRIKE_H_
