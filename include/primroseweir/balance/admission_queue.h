#ifndef PRIMROSEWEIR_BALANCE_ADMISSION_QUEUE_H_
#define PRIMROSEWEIR_BALANCE_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>

#include "primroseweir/balance/customer_shares.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Admission queue of one service: holds the calls that wait for room at an upstream, ordered by
// priority, then by what their customers were served (CustomerShares), then by arrival. Calls
// without a customer are ordered by priority and arrival alone.
//
// Load pattern: bursts that exceed the capacity of the upstreams for a few tens of milliseconds,
// and one customer that sends many times its usual load for seconds. Callers queue only calls that
// can still be served within a useful time (MaxWait) and refuse the others at once, so that the
// queue never holds calls that are bound to be late.
class AdmissionQueue {
 public:
  // On what the order of a call depends.
  struct Claim {
    std::uint32_t priority = 0;
    // Hash of the customer; no value if the configuration has no customers.
    std::optional<std::uint64_t> customer;
    // Share of the customer relative to others of the same priority. Positive.
    double weight = 1;
  };

  // Identifies a waiting call, and orders it among the others.
  struct Ticket {
    std::uint32_t priority = 0;
    double start_tag = 0;
    std::uint64_t sequence = 0;

    friend bool operator<(const Ticket& a, const Ticket& b) {
      return std::tie(a.priority, a.start_tag, a.sequence) <
             std::tie(b.priority, b.start_tag, b.sequence);
    }
  };

  // Tries to start the waiting call. Returns true when the call has left the queue, false when it
  // stays queued.
  using StartFunction = std::function<bool(Instant now)>;
  // Refuses the waiting call, which has left the queue. It may add and remove other calls.
  using RefuseFunction = std::function<void(Instant now)>;

  // Returns the longest useful queueing time of a call with that latency objective, when its
  // response is expected to take `latency_estimate`. Never negative.
  static Duration MaxWait(Duration latency_objective, Duration latency_estimate);

  // Adds a call. `start` must not add or remove other calls of this queue.
  Ticket Add(std::uint32_t priority, StartFunction start) {
    return Add({priority, std::nullopt, 1}, std::move(start), nullptr, Instant::max(), Instant());
  }
  // Adds a call that is of no use after `latest_start`. Without `refuse` it is never displaced.
  Ticket Add(const Claim& claim, StartFunction start, RefuseFunction refuse, Instant latest_start,
             Instant now);
  void Remove(const Ticket& ticket);

  // Starts the waiting calls in order until one can't start. Linear in the number of calls that
  // start.
  void StartWaitingCalls(Instant now);

  // Refuses the last call of the order that can be displaced, if it is served after `ticket` and
  // `expected_wait`, the expected wait of the last call, ends after its latest start. Returns
  // whether a call was refused.
  bool DisplaceLast(const Ticket& ticket, Duration expected_wait, Instant now);

  // Records an attempt at an upstream for a call with that claim, whether the call waited or not.
  // A call that is sent twice counts twice.
  void RecordAttempt(const Claim& claim, Instant now);
  // Records the end of such an attempt.
  void RecordEnd(const Claim& claim);

  // Whether a new call of that claim may wait, or its customer has too many of the calls in flight
  // of this instance (CustomerShares::IsAboveShare).
  bool MayWait(const Claim& claim) const;

  // Returns the number of calls that would be served before a new one of that claim.
  std::size_t CountAhead(const Claim& claim) const;
  std::size_t CountAhead(std::uint32_t priority) const {
    return CountAhead(Claim{priority, std::nullopt, 1});
  }
  std::size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }
  // Number of customers that are remembered.
  std::size_t customer_count() const;

  // Fraction of the latency objective that a call may spend in the queue.
  static constexpr double kMaxWaitFraction = 0.3;

 private:
  struct WaitingCall {
    Claim claim;
    StartFunction start;
    RefuseFunction refuse;
    Instant latest_start;
  };

  // Returns the ticket that a new call of that claim would get.
  Ticket NextTicket(const Claim& claim) const;
  void RecordWaiting(const Claim& claim, Instant now);
  void RecordNotWaiting(const Claim& claim);

  std::map<Ticket, WaitingCall> calls_;
  std::uint64_t next_sequence_ = 0;
  // By priority; empty while calls have no customers.
  std::map<std::uint32_t, CustomerShares> shares_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_ADMISSION_QUEUE_H_
