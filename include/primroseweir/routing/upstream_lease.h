#ifndef PRIMROSEWEIR_ROUTING_UPSTREAM_LEASE_H_
#define PRIMROSEWEIR_ROUTING_UPSTREAM_LEASE_H_

#include <memory>

#include "primroseweir/base/time.h"
#include "primroseweir/configuration/upstream_record.h"
#include "primroseweir/routing/call_result.h"

namespace primroseweir {

class UpstreamState;

// Permission to send one attempt of a call to one upstream. It counts as in flight there until it
// is finished; a lease destroyed unfinished counts as cancelled.
class UpstreamLease {
 public:
  // Takes over a call that UpstreamState::TryStart counted.
  UpstreamLease(std::shared_ptr<UpstreamState> state, Instant started);
  ~UpstreamLease();
  UpstreamLease(UpstreamLease&& other) noexcept;
  UpstreamLease& operator=(UpstreamLease&& other) noexcept;
  UpstreamLease(const UpstreamLease&) = delete;
  UpstreamLease& operator=(const UpstreamLease&) = delete;

  const UpstreamRecord& record() const;
  UpstreamState& state() const { return *state_; }

  // Ends the attempt and feeds its result into the upstream's observations. Call at most once.
  void Finish(const CallResult& result, Instant now);

 private:
  std::shared_ptr<UpstreamState> state_;
  Instant started_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_UPSTREAM_LEASE_H_
