#ifndef PRIMROSEWEIR_ROUTING_LEASE_OWNER_H_
#define PRIMROSEWEIR_ROUTING_LEASE_OWNER_H_

#include <cstdint>
#include <memory>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/call_result.h"

namespace primroseweir {

class UpstreamState;

// What a lease stands for.
struct LeaseContext {
  std::shared_ptr<UpstreamState> state;
  Instant started;
  std::uint64_t fingerprint = 0;
  // The call has a strike and runs apart from others like it; see CrashGuard.
  bool suspect = false;
  // A probe: it counts against no service's limit, and its latency says nothing about calls.
  bool probe = false;
};

// Receives the end of a lease. Called by the thread that ends it.
class LeaseOwner {
 public:
  virtual ~LeaseOwner() = default;
  virtual void OnLeaseEnded(const LeaseContext& context, const CallResult& result, Instant now) = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_LEASE_OWNER_H_
