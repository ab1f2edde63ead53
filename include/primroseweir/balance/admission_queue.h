#ifndef PRIMROSEWEIR_BALANCE_ADMISSION_QUEUE_H_
#define PRIMROSEWEIR_BALANCE_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Admission queue of one service: holds the calls that wait for room at an upstream, ordered by
// priority, then by arrival.
//
// Load pattern: bursts that exceed the capacity of the upstreams for a few tens of milliseconds.
// Callers queue only calls that can still be served within a useful time (MaxWait) and refuse the
// others at once, so that the queue never holds calls that are bound to be late.
class AdmissionQueue {
 public:
  // Identifies a waiting call.
  using Ticket = std::pair<std::uint32_t, std::uint64_t>;
  // Tries to start the waiting call. Returns true when the call has left the queue, false when it
  // stays queued.
  using StartFunction = std::function<bool(Instant now)>;

  // Returns the longest useful queueing time of a call with that latency objective, when its
  // response is expected to take `latency_estimate`. Never negative.
  static Duration MaxWait(Duration latency_objective, Duration latency_estimate);

  // Adds a call. `start` must not add or remove other calls of this queue.
  Ticket Add(std::uint32_t priority, StartFunction start);
  void Remove(const Ticket& ticket);

  // Starts the waiting calls in order until one can't start. Linear in the number of calls that
  // start.
  void StartWaitingCalls(Instant now);

  // Returns the number of calls that would be served before a new one of that priority.
  std::size_t CountAhead(std::uint32_t priority) const;
  std::size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }

  // Fraction of the latency objective that a call may spend in the queue.
  static constexpr double kMaxWaitFraction = 0.3;

 private:
  std::map<Ticket, StartFunction> calls_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_ADMISSION_QUEUE_H_
