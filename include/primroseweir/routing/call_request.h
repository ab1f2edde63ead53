#ifndef PRIMROSEWEIR_ROUTING_CALL_REQUEST_H_
#define PRIMROSEWEIR_ROUTING_CALL_REQUEST_H_

#include <cstdint>
#include <set>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Order in which waiting calls are served, highest first.
enum class Priority { kNonIdempotent, kNormal, kRefreshable };

// What the router has to know about a call.
struct CallRequest {
  ServiceName service;
  Priority priority = Priority::kNormal;
  Instant deadline;
  // Hash of method, target and body; see CrashGuard.
  std::uint64_t fingerprint = 0;
  // A hedge: only an upstream where this instance has a free owned slot may take it, so that it
  // displaces no other instance's call.
  bool hedge = false;
  // Upstreams that already refused or lost this call.
  std::set<UpstreamId> excluded;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_CALL_REQUEST_H_
