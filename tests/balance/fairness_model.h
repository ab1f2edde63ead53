#ifndef PRIMROSEWEIR_TESTS_BALANCE_FAIRNESS_MODEL_H_
#define PRIMROSEWEIR_TESTS_BALANCE_FAIRNESS_MODEL_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/balance/admission_queue.h"
#include "primroseweir/base/random.h"

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

// Several instances with a queue each before the slots of one service. A call that finds no slot
// waits if it is expected to start in time, as in the gateway, and is refused otherwise; its caller
// returns once. Slots that calls of other instances free are found after up to 25 ms, as by probes.
class FairnessModel {
 public:
  enum class Order {
    kArrival,
    kTagsEqual,
    kTagsQuota,
    kTagsRoot,
    kRoundRobin,
    kConcurrency,
    kBothEqual,
    kBothQuota,
    kBothRoot
  };
  struct Setup {
    Order order = Order::kArrival;
    // Usual load as a fraction of the capacity.
    double usual_load = 0.7;
    // The busy customer by size, 0 for the largest, and how many times its usual it sends.
    std::size_t busy = 0;
    double factor = 1;
    // Instances to which the busy customer sends.
    std::size_t busy_instances = kInstances;
    std::uint64_t seed = 1;
  };
  struct Result {
    // Calls that were served after they were new, of those sent.
    std::vector<double> sent;
    std::vector<double> served;
    std::vector<double> latencies_of_others_ms;
    std::size_t max_customers_remembered = 0;

    double ServedShare(std::size_t customer) const { return served[customer] / sent[customer]; }
    double ServedShareOfOthers(std::size_t busy) const {
      double all_sent = 0;
      double all_served = 0;
      for (std::size_t c = 0; c < sent.size(); ++c) {
        all_sent += c == busy ? 0 : sent[c];
        all_served += c == busy ? 0 : served[c];
      }
      return all_served / all_sent;
    }
    double ServedShareOfAll() const { return ServedShareOfOthers(sent.size()); }
    double WorstServedShare() const {
      double worst = 1;
      for (std::size_t c = 0; c < sent.size(); ++c) {
        worst = std::min(worst, ServedShare(c));
      }
      return worst;
    }
    double P99OfOthersMs() const {
      auto sorted = latencies_of_others_ms;
      std::sort(sorted.begin(), sorted.end());
      return sorted[sorted.size() * 99 / 100];
    }
  };

  explicit FairnessModel(const Setup& setup) : setup_(setup), random_(setup.seed) {
    for (std::size_t c = 0; c < kCustomers; ++c) {
      usual_rates_.push_back(1 / static_cast<double>(c + 1));
    }
    double sum = 0;
    for (const auto rate : usual_rates_) {
      sum += rate;
    }
    const double capacity = kSlots / Seconds(kWork);
    for (auto& rate : usual_rates_) {
      rate *= capacity * setup.usual_load / sum;
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      queues_.push_back(MakeQueue(i));
    }
    in_flight_.resize(kInstances);
    result_.sent.resize(kCustomers);
    result_.served.resize(kCustomers);
  }

  Result Run() {
    for (std::size_t c = 0; c < kCustomers; ++c) {
      ScheduleArrival(c, Instant());
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      SchedulePoll(i, Instant() + kPollInterval * static_cast<int>(i) / kInstances);
    }
    while (!events_.empty() && events_.top().at < Instant() + kDuration) {
      const auto event = events_.top();
      events_.pop();
      event.run(event.at);
    }
    return result_;
  }

  static constexpr std::size_t kCustomers = 79;
  static constexpr std::size_t kInstances = 9;
  // 76 upstreams with 3 slots, each call takes 160 ms and should be answered within 400 ms.
  static constexpr int kSlots = 228;
  static constexpr Duration kWork = std::chrono::milliseconds(160);
  static constexpr Duration kObjective = std::chrono::milliseconds(400);
  static constexpr Duration kPollInterval = std::chrono::milliseconds(25);
  static constexpr Duration kReturnDelay = std::chrono::milliseconds(175);
  static constexpr Duration kDuration = std::chrono::seconds(30);

 private:
  struct Event {
    Instant at;
    std::uint64_t sequence;
    std::function<void(Instant)> run;
    friend bool operator<(const Event& a, const Event& b) {
      return std::tie(b.at, b.sequence) < std::tie(a.at, a.sequence);
    }
  };
  struct Call {
    std::size_t customer;
    std::size_t instance;
    Instant received;
    Instant first_received;
    bool has_returned = false;
    bool is_waiting = false;
  };

  static double Seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
  static Duration FromSeconds(double s) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
  }

  std::unique_ptr<WaitingCalls> MakeQueue(std::size_t instance) {
    const auto try_start = [this, instance](std::size_t call, Instant now) {
      return TryStart(call, instance, now);
    };
    const std::vector<double> equal(kCustomers, 1);
    std::vector<double> roots;
    for (const auto rate : usual_rates_) {
      roots.push_back(std::sqrt(rate));
    }
    switch (setup_.order) {
      case Order::kArrival:
        return std::make_unique<AdmissionOrder>(try_start, std::vector<double>());
      case Order::kTagsEqual:
        return std::make_unique<AdmissionOrder>(try_start, equal);
      case Order::kTagsQuota:
        return std::make_unique<AdmissionOrder>(try_start, usual_rates_);
      case Order::kTagsRoot:
        return std::make_unique<AdmissionOrder>(try_start, roots);
      case Order::kBothEqual:
        return std::make_unique<AdmissionOrder>(try_start, equal, true);
      case Order::kBothQuota:
        return std::make_unique<AdmissionOrder>(try_start, usual_rates_, true);
      case Order::kBothRoot:
        return std::make_unique<AdmissionOrder>(try_start, roots, true);
      case Order::kRoundRobin:
        return std::make_unique<DeficitRoundRobin>(try_start, equal);
      case Order::kConcurrency:
        return std::make_unique<ConcurrencyShares>(try_start, equal);
    }
    return nullptr;
  }

  void Schedule(Instant at, std::function<void(Instant)> run) {
    events_.push({at, sequence_++, std::move(run)});
  }
  void SchedulePoll(std::size_t instance, Instant at) {
    Schedule(at, [this, instance](Instant now) {
      queues_[instance]->Start(now);
      SchedulePoll(instance, now + kPollInterval);
    });
  }
  void ScheduleArrival(std::size_t customer, Instant after) {
    const double rate = usual_rates_[customer] * (customer == setup_.busy ? setup_.factor : 1);
    const double gap = -std::log(1 - random_.UniformUnit()) / rate;
    Schedule(after + FromSeconds(gap), [this, customer](Instant now) {
      const auto instances = customer == setup_.busy ? setup_.busy_instances : kInstances;
      const auto instance =
          static_cast<std::size_t>(random_.UniformUnit() * static_cast<double>(instances));
      calls_.push_back({customer, instance, now, now});
      result_.sent[customer] += 1;
      Arrive(calls_.size() - 1, now);
      ScheduleArrival(customer, now);
    });
  }

  void Arrive(std::size_t id, Instant now) {
    const auto customer = calls_[id].customer;
    const auto instance = calls_[id].instance;
    auto& queue = *queues_[instance];
    if (!queue.MayOvertake(customer)) {
      queue.Start(now);
    }
    if (TryStart(id, instance, now)) {
      return;
    }
    const auto max_wait = AdmissionQueue::MaxWait(kObjective, kWork);
    if (!queue.MayWait(customer) || ExpectedWait(queue.CountAhead(customer), instance) > max_wait) {
      Refuse(id, now);
      return;
    }
    calls_[id].is_waiting = true;
    queue.Add(id, customer, now + max_wait, now);
    Schedule(now + max_wait, [this, id](Instant time) {
      if (calls_[id].is_waiting) {
        queues_[calls_[id].instance]->Remove(id);
        Refuse(id, time);
      }
    });
    if (const auto displaced = queue.Displace(id, ExpectedWait(queue.size() - 1, instance), now)) {
      Refuse(*displaced, now);
    }
  }

  Duration ExpectedWait(std::size_t ahead, std::size_t instance) const {
    return FromSeconds(Seconds(kWork) * static_cast<double>(ahead + 1) /
                       std::max(1.0, in_flight_[instance]));
  }

  bool TryStart(std::size_t id, std::size_t instance, Instant now) {
    if (slots_used_ == kSlots) {
      return false;
    }
    ++slots_used_;
    auto& call = calls_[id];
    call.is_waiting = false;
    in_flight_[instance] += 1;
    auto& queue = *queues_[instance];
    queue.RecordAttempt(call.customer, now);
    if (const auto* order = dynamic_cast<const AdmissionOrder*>(&queue)) {
      result_.max_customers_remembered =
          std::max(result_.max_customers_remembered, order->customer_count());
    }
    const auto work = FromSeconds(Seconds(kWork) * (0.5 + random_.UniformUnit()));
    Schedule(now + work, [this, id](Instant time) {
      const auto& ended = calls_[id];
      --slots_used_;
      in_flight_[ended.instance] -= 1;
      queues_[ended.instance]->RecordEnd(ended.customer);
      result_.served[ended.customer] += 1;
      if (ended.customer != setup_.busy) {
        result_.latencies_of_others_ms.push_back(Seconds(time - ended.first_received) * 1000);
      }
      queues_[ended.instance]->Start(time);
    });
    return true;
  }

  void Refuse(std::size_t id, Instant now) {
    calls_[id].is_waiting = false;
    if (calls_[id].has_returned) {
      return;
    }
    Schedule(now + kReturnDelay, [this, id](Instant time) {
      auto call = calls_[id];
      call.has_returned = true;
      call.received = time;
      calls_.push_back(call);
      Arrive(calls_.size() - 1, time);
    });
  }

  const Setup setup_;
  Random random_;
  std::vector<double> usual_rates_;
  std::vector<std::unique_ptr<WaitingCalls>> queues_;
  std::vector<Call> calls_;
  std::vector<double> in_flight_;
  int slots_used_ = 0;
  std::priority_queue<Event> events_;
  std::uint64_t sequence_ = 0;
  Result result_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_BALANCE_FAIRNESS_MODEL_H_
