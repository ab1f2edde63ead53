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

// One attempt to place a call at an upstream by one table. Used within one thread and one moment.
class Picker {
 public:
  struct Rules {
    // Limits above one call are not trusted: the instance heard no peer for long.
    bool window_untrusted = false;
    // Windows of silent owners may be claimed.
    bool may_claim = false;
    // The call's turn in the queue has come; else it must not overtake waiting calls.
    bool from_queue = false;
  };

  Picker(const ServiceEntry& entry, RouterShared* shared, ScratchPool* pool, const Rules& rules)
      : entry_(entry), shared_(shared), pool_(pool), rules_(rules) {}

  // A lease, or why there is none. ResourceExhausted means that waiting may help; the other errors
  // are final.
  absl::StatusOr<UpstreamLease> Acquire(const CallRequest& request, Instant now);

 private:
  enum class CollectResult { kSome, kAllBusy, kNone };

  CollectResult Collect(const CallRequest& request, bool suspect, Scratch* scratch,
                        Instant now) const;
  void RetainAssigned(const CallRequest& request, Scratch* scratch, Instant now) const;
  Candidate MakeCandidate(const ServiceEntry::UsableUpstream& usable, std::uint32_t limit,
                          Instant now) const;
  std::uint32_t LimitOf(const UpstreamState& state, Instant now) const;
  std::shared_ptr<UpstreamState> Pick(const CallRequest& request, bool suspect, Scratch* scratch,
                                      Instant now);
  bool TryStart(const CallRequest& request, bool suspect,
                const ServiceEntry::UsableUpstream& usable, Instant now);
  // Whether the window of a state without a share may be claimed: no owner is heard to send there.
  bool IsOwnerSilent(const CallRequest& request, const UpstreamState& state, Instant now) const;
  bool Claim(UpstreamState* state, Duration settle, Instant now);
  bool ClaimOne(const CallRequest& request, Instant now);
  void ClaimNear(const CallRequest& request, Instant now);

  const ServiceEntry& entry_;
  RouterShared* shared_;
  ScratchPool* pool_;
  const Rules rules_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_PICKER_H_
