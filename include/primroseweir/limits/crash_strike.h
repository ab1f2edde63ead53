#ifndef PRIMROSEWEIR_LIMITS_CRASH_STRIKE_H_
#define PRIMROSEWEIR_LIMITS_CRASH_STRIKE_H_

#include <cstdint>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Loss of an upstream while it executed a request, as instances exchange it. With `succeeded` it
// states instead that the request was executed completely there, so that older strikes no longer
// count; without this, calls that were executed beside a crashing one could be quarantined.
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
