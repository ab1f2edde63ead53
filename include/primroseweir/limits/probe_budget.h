#ifndef PRIMROSEWEIR_LIMITS_PROBE_BUDGET_H_
#define PRIMROSEWEIR_LIMITS_PROBE_BUDGET_H_

#include <atomic>
#include <cstdint>

#include "primroseweir/base/time.h"

namespace primroseweir {

// This seat's part of the probes that one upstream may receive (design 7.1): 1/seats of 1% of the
// upstream's slot time. A token bucket of one token that starts empty, so that a restart gives no
// extra probe. Safe for many threads, without locks.
class ProbeBudget {
 public:
  // What the list says of the upstream. Without slots or without a cost no budget can be computed
  // and no probe is allowed.
  struct Upstream {
    std::uint32_t slots = 1;
    Duration probe_cost{};
  };

  ProbeBudget(const Upstream& upstream, std::uint64_t seats, Instant now);

  // The list changed; the bucket starts empty again.
  void SetUpstream(const Upstream& upstream, Instant now);

  // Takes the token if there is one.
  bool TryAcquire(Instant now);

  // Time between two probes of this seat; 0 when no probe is allowed.
  Duration interval() const { return Duration(interval_.load(std::memory_order_relaxed)); }

  // Slot time per unit of slot time that probes may take: one hundredth.
  static constexpr std::int64_t kInverseBudget = 100;

 private:
  const std::uint64_t seats_;
  std::atomic<Duration::rep> interval_{0};
  // When the token is there.
  std::atomic<Duration::rep> next_{0};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_PROBE_BUDGET_H_
