#ifndef PRIMROSEWEIR_BALANCE_CUSTOMER_SHARES_H_
#define PRIMROSEWEIR_BALANCE_CUSTOMER_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "primroseweir/base/time.h"

namespace primroseweir {

// What the customers of one service and priority have been served, for start-time fair queueing:
// each attempt advances its customer's finish tag by 1 / weight, and the virtual time is the
// greatest start tag that was served. A customer that was idle starts at the virtual time, so that
// it neither saves up a claim nor pays for room that nobody else wanted.
//
// Load pattern: few calls at a time on each of many instances, most customers with one call in some
// seconds, one with many times its usual load.
class CustomerShares {
 public:
  // Returns the start tag of the customer's next call: lower is served first. Calls that already
  // wait count as if they had been served.
  double StartTag(std::uint64_t customer, double weight) const;

  // Records that a call of the customer waits, or no longer waits.
  void RecordWaiting(std::uint64_t customer, double weight, Instant now);
  void RecordNotWaiting(std::uint64_t customer);

  // Records the start and the end of an attempt at an upstream. Amortized constant time.
  void RecordAttempt(std::uint64_t customer, double weight, Instant now);
  void RecordEnd(std::uint64_t customer);

  // Whether any call waits, and the customer has more calls in flight than kMaxShareFactor times
  // its share of those of all customers that have calls in flight or waiting. A customer with one
  // call in flight never has. Start tags alone don't limit a customer that sends to few instances:
  // each of its calls that ends would free room for its next one, at the expense of calls that wait
  // elsewhere.
  bool IsAboveShare(std::uint64_t customer, double weight) const;

  // Number of customers that are remembered.
  std::size_t size() const { return shares_.size(); }

  // Calls in flight above which no more calls of a customer wait, as a multiple of its share. With
  // 1, large customers at their usual load were refused in the model of tests/balance; with 3,
  // others were served less beside a busy customer that sends to two of nine instances.
  static constexpr double kMaxShareFactor = 1.5;
  // Time after its last attempt for which a customer is remembered. Longer than any wait for room,
  // so that a customer does not regain its claim by a pause within one shortage.
  static constexpr Duration kMemory = std::chrono::seconds(10);
  // Number of customers below which none is removed.
  static constexpr std::size_t kMinSweepSize = 32;

 private:
  struct Share {
    double finish_tag = 0;
    std::uint32_t waiting = 0;
    std::uint32_t in_flight = 0;
    // Weight by which the customer is contained in active_weight_.
    double active_weight = 0;
    Instant last_used;

    bool is_active() const { return waiting + in_flight > 0; }
  };

  void Activate(Share* share, double weight, Instant now);
  void DeactivateIfIdle(Share* share);

  // Removes the customers that would be treated the same if they were unknown.
  void Sweep(Instant now);

  double virtual_time_ = 0;
  std::unordered_map<std::uint64_t, Share> shares_;
  std::size_t sweep_size_ = kMinSweepSize;
  // Sums over the customers with calls in flight or waiting.
  std::uint32_t waiting_ = 0;
  std::uint32_t in_flight_ = 0;
  double active_weight_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_CUSTOMER_SHARES_H_
