#include "primroseweir/limits/probe_budget.h"

#include <algorithm>

namespace primroseweir {
namespace {

Duration::rep IntervalOf(const ProbeBudget::Upstream& upstream, std::uint64_t seat_count) {
  if (upstream.slots == 0 || upstream.probe_cost <= Duration::zero()) return 0;
  const Duration::rep cost = upstream.probe_cost.count() * ProbeBudget::kBudgetDivisor *
                             static_cast<Duration::rep>(seat_count);
  const Duration::rep slots = upstream.slots;
  // Rounded up, since a shorter interval would exceed the budget.
  return (cost + slots - 1) / slots;
}

}  // namespace

ProbeBudget::ProbeBudget(const Upstream& upstream, std::uint64_t seat_count, Instant now)
    : seat_count_(std::max<std::uint64_t>(seat_count, 1)) {
  SetUpstream(upstream, now);
}

void ProbeBudget::SetUpstream(const Upstream& upstream, Instant now) {
  const Duration::rep interval = IntervalOf(upstream, seat_count_);
  next_probe_at_.store(now.time_since_epoch().count() + interval, std::memory_order_relaxed);
  interval_.store(interval, std::memory_order_relaxed);
}

bool ProbeBudget::TryAcquire(Instant now) {
  const Duration::rep interval = interval_.load(std::memory_order_relaxed);
  const Duration::rep now_ticks = now.time_since_epoch().count();
  Duration::rep next_probe_at = next_probe_at_.load(std::memory_order_relaxed);
  while (interval > 0 && now_ticks >= next_probe_at) {
    if (next_probe_at_.compare_exchange_weak(next_probe_at, now_ticks + interval,
                                             std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace primroseweir
