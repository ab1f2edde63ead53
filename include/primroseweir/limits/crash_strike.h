#ifndef PRIMROSEWEIR_LIMITS_CRASH_STRIKE_H_
#define PRIMROSEWEIR_LIMITS_CRASH_STRIKE_H_

#include <cstdint>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// One upstream that was lost while it ran a request, as instances exchange it. With `succeeded` it
// says instead that the request ran whole there, so that strikes older than that no longer count;
// without this, calls that ran beside a crashing one could be quarantined.
struct CrashStrike {
  // Hash of the request's method, target and body.
  std::uint64_t fingerprint = 0;
  UpstreamId upstream;
  // Time since the loss or the success.
  Duration age{};
  bool succeeded = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_CRASH_STRIKE_H_
