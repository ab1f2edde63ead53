#ifndef PRIMROSEWEIR_ROUTING_UPSTREAM_LEASE_H_
#define PRIMROSEWEIR_ROUTING_UPSTREAM_LEASE_H_

#include <memory>

#include "primroseweir/base/time.h"
#include "primroseweir/configuration/upstream_record.h"
#include "primroseweir/routing/call_result.h"
#include "primroseweir/routing/lease_owner.h"

namespace primroseweir {

class UpstreamState;

// Permission to send one attempt of a call to one upstream. The attempt counts as in flight there
// until Finish is called; a lease that is destroyed unfinished counts as cancelled.
class UpstreamLease {
 public:
  // Takes ownership of a call that UpstreamState::TryStart counted as in flight. `owner` may be
  // null; the end of the lease is then reported only to the state of the upstream.
  UpstreamLease(LeaseContext context, std::shared_ptr<LeaseOwner> owner);
  // Like above, for a call without an owner.
  UpstreamLease(std::shared_ptr<UpstreamState> state, Instant started);
  ~UpstreamLease();
  UpstreamLease(UpstreamLease&& other) noexcept;
  UpstreamLease& operator=(UpstreamLease&& other) noexcept;
  UpstreamLease(const UpstreamLease&) = delete;
  UpstreamLease& operator=(const UpstreamLease&) = delete;

  const UpstreamRecord& record() const;
  UpstreamState& state() const { return *context_.state; }

  // Ends the attempt and updates the upstream's observations with its result. Call at most once.
  void Finish(const CallResult& result, Instant now);

 private:
  LeaseContext context_;
  std::shared_ptr<LeaseOwner> owner_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_UPSTREAM_LEASE_H_
