#include "primroseweir/balance/admission_queue.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace primroseweir {

Duration AdmissionQueue::MaxWait(Duration latency_objective, Duration latency_estimate) {
  const auto max_share = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(latency_objective) * kMaxWaitFraction);
  return std::max(Duration::zero(), std::min(max_share, latency_objective - latency_estimate));
}

AdmissionQueue::Ticket AdmissionQueue::Add(std::uint32_t priority, StartFunction start) {
  const Ticket ticket{priority, next_sequence_++};
  calls_.emplace(ticket, std::move(start));
  return ticket;
}

void AdmissionQueue::Remove(const Ticket& ticket) { calls_.erase(ticket); }

void AdmissionQueue::StartWaitingCalls(Instant now) {
  while (!calls_.empty()) {
    const auto first = calls_.begin();
    // The function is moved out of the map: starting the call may destroy what it captured.
    auto start = std::move(first->second);
    const auto ticket = first->first;
    calls_.erase(first);
    if (!start(now)) {
      calls_.emplace(ticket, std::move(start));
      return;
    }
  }
}

std::size_t AdmissionQueue::CountAhead(std::uint32_t priority) const {
  return static_cast<std::size_t>(
      std::distance(calls_.begin(), calls_.lower_bound({priority + 1, 0})));
}

}  // namespace primroseweir
