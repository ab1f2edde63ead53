#ifndef PRIMROSEWEIR_TESTS_BALANCE_WAITING_ORDERS_H_
#define PRIMROSEWEIR_TESTS_BALANCE_WAITING_ORDERS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "primroseweir/balance/admission_queue.h"

namespace primroseweir::testing {

// The order in which the calls that wait at one instance start.
class WaitingCalls {
 public:
  using TryStart = std::function<bool(std::size_t call, Instant now)>;

  virtual ~WaitingCalls() = default;
  // Whether a new call may use a free slot although others wait.
  virtual bool MayOvertake(std::size_t customer) const = 0;
  virtual bool MayWait(std::size_t /*customer*/) const { return true; }
  virtual std::size_t CountAhead(std::size_t customer) const = 0;
  virtual void Add(std::size_t call, std::size_t customer, Instant latest_start, Instant now) = 0;
  virtual void Remove(std::size_t call) = 0;
  virtual void Start(Instant now) = 0;
  // Returns a call that leaves the queue since the expected wait of the last one is too long.
  virtual std::optional<std::size_t> Displace(std::size_t /*added*/, Duration /*expected_wait*/,
                                              Instant /*now*/) {
    return std::nullopt;
  }
  virtual void RecordAttempt(std::size_t /*customer*/, Instant /*now*/) {}
  virtual void RecordEnd(std::size_t /*customer*/) {}
  virtual std::size_t size() const = 0;
};

// AdmissionQueue, by arrival or by customer.
class AdmissionOrder : public WaitingCalls {
 public:
  // `weights` is empty for the order of a configuration without customers.
  AdmissionOrder(TryStart try_start, std::vector<double> weights, bool with_shares = false)
      : try_start_(std::move(try_start)), weights_(std::move(weights)), with_shares_(with_shares) {}

  bool MayOvertake(std::size_t customer) const override {
    return weights_.empty() || CountAhead(customer) == 0;
  }
  bool MayWait(std::size_t customer) const override {
    return !with_shares_ || queue_.MayWait(ClaimOf(customer));
  }
  std::size_t CountAhead(std::size_t customer) const override {
    return queue_.CountAhead(ClaimOf(customer));
  }
  void Add(std::size_t call, std::size_t customer, Instant latest_start, Instant now) override {
    tickets_[call] = queue_.Add(
        ClaimOf(customer),
        [this, call](Instant time) {
          if (!try_start_(call, time)) {
            return false;
          }
          tickets_.erase(call);
          return true;
        },
        [this, call](Instant) {
          tickets_.erase(call);
          displaced_ = call;
        },
        latest_start, now);
  }
  void Remove(std::size_t call) override {
    const auto found = tickets_.find(call);
    if (found != tickets_.end()) {
      queue_.Remove(found->second);
      tickets_.erase(found);
    }
  }
  void Start(Instant now) override { queue_.StartWaitingCalls(now); }
  std::optional<std::size_t> Displace(std::size_t added, Duration expected_wait,
                                      Instant now) override {
    displaced_.reset();
    if (!weights_.empty()) {
      queue_.DisplaceLast(tickets_.at(added), expected_wait, now);
    }
    return displaced_;
  }
  void RecordAttempt(std::size_t customer, Instant now) override {
    queue_.RecordAttempt(ClaimOf(customer), now);
  }
  void RecordEnd(std::size_t customer) override { queue_.RecordEnd(ClaimOf(customer)); }
  std::size_t size() const override { return queue_.size(); }
  std::size_t customer_count() const { return queue_.customer_count(); }

 private:
  AdmissionQueue::Claim ClaimOf(std::size_t customer) const {
    return weights_.empty() ? AdmissionQueue::Claim{0, std::nullopt, 1}
                            : AdmissionQueue::Claim{0, customer, weights_[customer]};
  }

  const TryStart try_start_;
  const std::vector<double> weights_;
  const bool with_shares_;
  AdmissionQueue queue_;
  std::map<std::size_t, AdmissionQueue::Ticket> tickets_;
  std::optional<std::size_t> displaced_;
};

// Deficit round robin: a list of calls for each customer, served in turn by weight. All calls cost
// the same. A full queue refuses the last call of the customer with the longest list for its
// weight.
class DeficitRoundRobin : public WaitingCalls {
 public:
  DeficitRoundRobin(TryStart try_start, std::vector<double> weights)
      : try_start_(std::move(try_start)),
        weights_(std::move(weights)),
        lists_(weights_.size()),
        deficits_(weights_.size()) {
    const double smallest = *std::min_element(weights_.begin(), weights_.end());
    for (auto& weight : weights_) {
      weight /= smallest;
    }
  }

  bool MayOvertake(std::size_t customer) const override { return CountAhead(customer) == 0; }
  std::size_t CountAhead(std::size_t customer) const override {
    const double turns = static_cast<double>(lists_[customer].size() + 1) / weights_[customer];
    double ahead = 0;
    for (std::size_t other = 0; other < lists_.size(); ++other) {
      ahead += std::min<double>(static_cast<double>(lists_[other].size()),
                                other == customer ? 1e9 : turns * weights_[other]);
    }
    return static_cast<std::size_t>(ahead);
  }
  void Add(std::size_t call, std::size_t customer, Instant /*latest_start*/,
           Instant /*now*/) override {
    lists_[customer].push_back(call);
    ++size_;
  }
  void Remove(std::size_t call) override {
    for (auto& list : lists_) {
      const auto found = std::find(list.begin(), list.end(), call);
      if (found != list.end()) {
        list.erase(found);
        --size_;
      }
    }
  }
  void Start(Instant now) override {
    while (size_ > 0) {
      while (lists_[turn_].empty() || deficits_[turn_] < 1) {
        deficits_[turn_] = lists_[turn_].empty() ? 0 : deficits_[turn_];
        turn_ = (turn_ + 1) % lists_.size();
        deficits_[turn_] += weights_[turn_];
      }
      const auto call = lists_[turn_].front();
      lists_[turn_].erase(lists_[turn_].begin());
      if (!try_start_(call, now)) {
        lists_[turn_].insert(lists_[turn_].begin(), call);
        return;
      }
      --size_;
      deficits_[turn_] -= 1;
    }
  }
  std::optional<std::size_t> Displace(std::size_t added, Duration expected_wait,
                                      Instant /*now*/) override {
    if (expected_wait <= max_wait_) {
      return std::nullopt;
    }
    std::size_t longest = 0;
    for (std::size_t customer = 0; customer < lists_.size(); ++customer) {
      const auto length = [&](std::size_t c) {
        return static_cast<double>(lists_[c].size()) / weights_[c];
      };
      longest = length(customer) > length(longest) ? customer : longest;
    }
    const auto call = lists_[longest].back();
    if (call == added) {
      return std::nullopt;
    }
    lists_[longest].pop_back();
    --size_;
    return call;
  }
  std::size_t size() const override { return size_; }

 private:
  const TryStart try_start_;
  std::vector<double> weights_;
  std::vector<std::vector<std::size_t>> lists_;
  std::vector<double> deficits_;
  std::size_t turn_ = 0;
  std::size_t size_ = 0;
  const Duration max_wait_ = std::chrono::milliseconds(120);
};

// Shares of concurrency: by arrival, but while calls wait, a customer gets no more than its share
// of the calls in flight of this instance.
class ConcurrencyShares : public AdmissionOrder {
 public:
  ConcurrencyShares(TryStart try_start, std::vector<double> weights)
      : AdmissionOrder(std::move(try_start), {}),
        shares_(std::move(weights)),
        in_flight_(shares_.size()) {}

  bool MayOvertake(std::size_t /*customer*/) const override { return size() == 0; }
  bool MayWait(std::size_t customer) const override {
    double active_weight = 0;
    for (std::size_t other = 0; other < shares_.size(); ++other) {
      active_weight += in_flight_[other] > 0 || other == customer ? shares_[other] : 0;
    }
    const double share = total_in_flight_ * shares_[customer] / active_weight;
    return size() == 0 || in_flight_[customer] <= std::max(1.0, share);
  }
  void RecordAttempt(std::size_t customer, Instant /*now*/) override {
    in_flight_[customer] += 1;
    total_in_flight_ += 1;
  }
  void RecordEnd(std::size_t customer) override {
    in_flight_[customer] -= 1;
    total_in_flight_ -= 1;
  }

 private:
  const std::vector<double> shares_;
  std::vector<double> in_flight_;
  double total_in_flight_ = 0;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_BALANCE_WAITING_ORDERS_H_
