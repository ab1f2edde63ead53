#ifndef PRIMROSEWEIR_ROUTING_LEASE_OWNER_H_
#define PRIMROSEWEIR_ROUTING_LEASE_OWNER_H_

#include <cstdint>
#include <memory>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/call_result.h"

namespace primroseweir {

class UpstreamState;

// Describes the attempt that a lease covers.
struct LeaseContext {
  std::shared_ptr<UpstreamState> state;
  Instant started;
  std::uint64_t fingerprint = 0;
  // The request has a strike and is executed apart from other suspects; see CrashGuard.
  bool is_suspect = false;
  // Marks a probe. It counts against no service's limit, and its latency is no measure of the
  // latency of calls.
  bool is_probe = false;
};

// Receives the end of a lease. Called on the thread that ends the lease.
class LeaseOwner {
 public:
  virtual ~LeaseOwner() = default;
  virtual void OnLeaseEnded(const LeaseContext& context, const CallResult& result, Instant now) = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_LEASE_OWNER_H_
