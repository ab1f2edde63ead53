#ifndef PRIMROSEWEIR_LIMITS_PROBE_BUDGET_H_
#define PRIMROSEWEIR_LIMITS_PROBE_BUDGET_H_

#include <atomic>
#include <cstdint>

#include "primroseweir/base/time.h"

namespace primroseweir {

// This seat's share of the probes that one upstream may receive: 1/seats of 1% of the upstream's
// slot time. A token bucket with a capacity of one token, which starts empty so that a restart
// gives no extra probe. Thread-safe without locks.
class ProbeBudget {
 public:
  // Properties of the upstream that the budget is computed from. Without slots or without a probe
  // cost no budget can be computed, and no probe is allowed.
  struct Upstream {
    std::uint32_t slots = 1;
    Duration probe_cost{};
  };

  ProbeBudget(const Upstream& upstream, std::uint64_t seat_count, Instant now);

  // Applies changed properties of the upstream and empties the bucket.
  void SetUpstream(const Upstream& upstream, Instant now);

  // Takes the token. Returns false when the bucket is empty or no probe is allowed.
  bool TryAcquire(Instant now);

  // Minimum time between two probes of this seat; 0 when no probe is allowed.
  Duration interval() const { return Duration(interval_.load(std::memory_order_relaxed)); }

  // Probes may take one part in this many of the upstream's slot time.
  static constexpr std::int64_t kBudgetDivisor = 100;

 private:
  const std::uint64_t seat_count_;
  std::atomic<Duration::rep> interval_{0};
  // When the bucket holds a token again.
  std::atomic<Duration::rep> next_probe_at_{0};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_PROBE_BUDGET_H_
