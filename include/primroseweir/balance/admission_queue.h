#ifndef PRIMROSEWEIR_BALANCE_ADMISSION_QUEUE_H_
#define PRIMROSEWEIR_BALANCE_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Calls of one service that wait for room, by priority, then by arrival.
//
// Load pattern: bursts of a few tens of milliseconds above what the upstreams can take. Calls that
// can't be served within a useful time are refused at once instead of queued, so that the queue
// never holds calls that are bound to be late.
class AdmissionQueue {
 public:
  // Identifies a waiting call.
  using Ticket = std::pair<std::uint32_t, std::uint64_t>;
  // Tries to start the waiting call; true when it left the queue.
  using StartFunction = std::function<bool(Instant now)>;

  // Longest useful wait of a call with that objective whose answer usually takes `usual`.
  static Duration MaxWait(Duration objective, Duration latency_estimate);

  // Adds a call. The attempt must not add or remove other calls of this queue.
  Ticket Add(std::uint32_t priority, StartFunction attempt);
  void Remove(const Ticket& ticket);

  // Offers room to the waiting calls in their order, until one can't use it. Linear in the calls
  // that start.
  void Offer(Instant now);

  // Calls that would be served before a new one of that priority.
  std::size_t CountAhead(std::uint32_t priority) const;
  std::size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }

  // Part of the objective that a call may wait.
  static constexpr double kMaxWaitFraction = 0.3;

 private:
  std::map<Ticket, StartFunction> calls_;
  std::uint64_t next_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_ADMISSION_QUEUE_H_
