#ifndef PRIMROSEWEIR_ROUTING_DETAIL_PICKER_H_
#define PRIMROSEWEIR_ROUTING_DETAIL_PICKER_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>

#include "primroseweir/base/time.h"
#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/routing/call_request.h"
#include "primroseweir/routing/detail/scratch_pool.h"
#include "primroseweir/routing/detail/service_runtime.h"
#include "primroseweir/routing/routing_table.h"
#include "primroseweir/routing/upstream_lease.h"

namespace primroseweir {
namespace detail {

// Picks an upstream of one routing table for one call and acquires a lease on it. Used on one
// thread and at one point in time.
class Picker {
 public:
  struct Rules {
    // Each limit is capped at one call, because this instance received nothing from its peers for
    // too long.
    bool window_untrusted = false;
    // Warm-up windows may be claimed if no owner is known to send calls (see IsOwnerSilent).
    bool may_claim = false;
    // The call was woken from the admission queue; any other call must not overtake waiting calls.
    bool from_queue = false;
  };

  Picker(const ServiceEntry& entry, RouterShared* shared, ScratchPool* pool, const Rules& rules)
      : entry_(entry), shared_(shared), pool_(pool), rules_(rules) {}

  // Returns a lease, or the reason why there is none. ResourceExhausted means that waiting may
  // help; the other errors are final.
  absl::StatusOr<UpstreamLease> Acquire(const CallRequest& request, Instant now);

 private:
  enum class CollectResult { kFound, kAllBusy, kNoneEligible };

  CollectResult Collect(const CallRequest& request, bool is_suspect, Scratch* scratch,
                        Instant now) const;
  void RetainAssigned(const CallRequest& request, Scratch* scratch, Instant now) const;
  Candidate MakeCandidate(const ServiceEntry::UsableUpstream& usable, std::uint32_t limit,
                          Instant now) const;
  std::uint32_t EffectiveLimit(const UpstreamState& state, Instant now) const;
  std::shared_ptr<UpstreamState> Pick(const CallRequest& request, bool is_suspect, Scratch* scratch,
                                      Instant now);
  bool TryStart(const CallRequest& request, bool is_suspect,
                const ServiceEntry::UsableUpstream& usable, Instant now);
  // Returns whether a warm-up window of which this instance has no share may be claimed because no
  // owner is known to send calls to the upstream.
  bool IsOwnerSilent(const CallRequest& request, const UpstreamState& state, Instant now) const;
  bool Claim(UpstreamState* state, Duration settle_time, Instant now);
  bool ClaimIfNoShare(const CallRequest& request, Instant now);
  void ClaimLocal(const CallRequest& request, Instant now);

  const ServiceEntry& entry_;
  RouterShared* shared_;
  ScratchPool* pool_;
  const Rules rules_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_PICKER_H_
