#include "primroseweir/balance/wait_queue.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace primroseweir {

Duration WaitQueue::LongestWait(Duration objective, Duration usual) {
  const auto part =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(objective) * kWaitPart);
  return std::max(Duration::zero(), std::min(part, objective - usual));
}

WaitQueue::Ticket WaitQueue::Add(std::uint32_t priority, Attempt attempt) {
  const Ticket ticket{priority, next_++};
  calls_.emplace(ticket, std::move(attempt));
  return ticket;
}

void WaitQueue::Remove(const Ticket& ticket) { calls_.erase(ticket); }

void WaitQueue::Offer(Instant now) {
  while (!calls_.empty()) {
    const auto first = calls_.begin();
    // The attempt is moved out: it may destroy what it captured.
    auto attempt = std::move(first->second);
    const auto ticket = first->first;
    calls_.erase(first);
    if (!attempt(now)) {
      calls_.emplace(ticket, std::move(attempt));
      return;
    }
  }
}

std::size_t WaitQueue::Ahead(std::uint32_t priority) const {
  return static_cast<std::size_t>(
      std::distance(calls_.begin(), calls_.lower_bound({priority + 1, 0})));
}

}  // namespace primroseweir
