#ifndef PRIMROSEWEIR_ROUTING_CALL_REQUEST_H_
#define PRIMROSEWEIR_ROUTING_CALL_REQUEST_H_

#include <cstdint>
#include <set>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Priority of a call in the admission queue, highest first.
enum class Priority { kNonIdempotent, kNormal, kRefreshable };

// Properties of a call that the router needs to pick an upstream.
struct CallRequest {
  ServiceName service;
  Priority priority = Priority::kNormal;
  Instant deadline;
  // Hash of method, target and body; identifies the request for CrashGuard.
  std::uint64_t fingerprint = 0;
  // Marks a hedge. A hedge is sent only to an upstream where this instance has a free owned slot,
  // so that it displaces no call of another instance.
  bool hedge = false;
  // Upstreams to which an attempt of this call was already made.
  std::set<UpstreamId> excluded;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_CALL_REQUEST_H_
