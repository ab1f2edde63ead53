#include "primroseweir/limits/probe_budget.h"

#include <algorithm>

namespace primroseweir {
namespace {

Duration::rep IntervalOf(const ProbeBudget::Upstream& upstream, std::uint64_t seats) {
  if (upstream.slots == 0 || upstream.probe_cost <= Duration::zero()) return 0;
  const Duration::rep cost =
      upstream.probe_cost.count() * ProbeBudget::kInverseBudget * static_cast<Duration::rep>(seats);
  const Duration::rep slots = upstream.slots;
  // Rounded up: a shorter interval would exceed the budget.
  return (cost + slots - 1) / slots;
}

}  // namespace

ProbeBudget::ProbeBudget(const Upstream& upstream, std::uint64_t seats, Instant now)
    : seats_(std::max<std::uint64_t>(seats, 1)) {
  SetUpstream(upstream, now);
}

void ProbeBudget::SetUpstream(const Upstream& upstream, Instant now) {
  const Duration::rep interval = IntervalOf(upstream, seats_);
  next_.store(now.time_since_epoch().count() + interval, std::memory_order_relaxed);
  interval_.store(interval, std::memory_order_relaxed);
}

bool ProbeBudget::TryAcquire(Instant now) {
  const Duration::rep interval = interval_.load(std::memory_order_relaxed);
  const Duration::rep present = now.time_since_epoch().count();
  Duration::rep next = next_.load(std::memory_order_relaxed);
  while (interval > 0 && present >= next) {
    if (next_.compare_exchange_weak(next, present + interval, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace primroseweir
