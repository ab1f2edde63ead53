#ifndef PRIMROSEWEIR_TESTS_BALANCE_FAIRNESS_MODEL_H_
#define PRIMROSEWEIR_TESTS_BALANCE_FAIRNESS_MODEL_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "primroseweir/balance/admission_queue.h"
#include "primroseweir/base/random.h"
#include "waiting_orders.h"

namespace primroseweir::testing {

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
