#ifndef PRIMROSEWEIR_TESTS_CUSTOMERS_QUOTA_FLEET_H_
#define PRIMROSEWEIR_TESTS_CUSTOMERS_QUOTA_FLEET_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/customers/customer.h"
#include "primroseweir/customers/customer_table.h"
#include "primroseweir/customers/fleet_quota.h"

namespace primroseweir::testing {

inline CustomerTable::Entry MakeQuota(const std::string& name, double rate, double burst) {
  CustomerTable::Entry entry;
  entry.customer.name = CustomerName(name);
  entry.customer.rate = rate;
  entry.customer.burst = burst;
  entry.keys = {"key-" + name};
  return entry;
}

// Instances with a FleetQuota each, whose reports take one or two ticks and can be cut, lost,
// delayed or repeated. Simulated time.
class QuotaFleet {
 public:
  using Table = std::shared_ptr<const CustomerTable>;

  static constexpr Duration kTick = std::chrono::milliseconds(10);
  // Instances that callers use unless told otherwise, and which receive every instance's reports.
  static constexpr std::size_t kSubset = 6;

  QuotaFleet(std::size_t instances, Table table, std::uint64_t seed = 1)
      : table_(std::move(table)), random_(seed) {
    for (std::size_t i = 0; i < instances; ++i) {
      instances_.emplace_back();
      Start(i);
    }
  }

  // Starts an instance, or starts it again without any memory.
  void Start(std::size_t i) {
    auto& instance = instances_[i];
    instance.quota = std::make_unique<FleetQuota>(random_.UniformBelow(1U << 30U));
    instance.incarnation = instance.incarnation.Next();
    instance.is_running = true;
    instance.quota->SetOwnAddress(AddressOf(i));
    instance.quota->SetPeakFleetSize(instances_.size());
    instance.quota->SetServingInstances(std::min(kSubset, instances_.size()), i < kSubset);
    instance.heartbeats_from.clear();
    SetFleetView(i);
    instance.quota->Apply(table_.get(), now_);
  }
  void Stop(std::size_t i) { instances_[i].is_running = false; }
  void Add() {
    instances_.emplace_back();
    Start(instances_.size() - 1);
  }
  void Freeze(std::size_t i, bool frozen) { instances_[i].is_frozen = frozen; }
  void Apply(Table table) {
    table_ = std::move(table);
    for (auto& instance : instances_) {
      instance.quota->Apply(table_.get(), now_);
    }
  }

  FleetQuota::Decision Ask(std::size_t i, std::size_t customer = 0, std::uint64_t request = 0) {
    auto& instance = instances_[i];
    if (!instance.is_running || instance.is_frozen) {
      return {false, Duration::zero()};
    }
    const auto decision = instance.quota->TryAcquire(table_->customers()[customer], request, now_);
    if (decision.admitted) {
      admitted_[customer].push_back(now_);
    }
    return decision;
  }

  // Advances the time by one tick and exchanges reports.
  void Tick() {
    now_ += kTick;
    ++ticks_;
    if (ticks_ % kTicksPerHeartbeat == 0) {
      ExchangeHeartbeats();
    }
    if (ticks_ % kTicksPerProbe == 0) {
      ProbeSilentPeers();
    }
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      auto& instance = instances_[i];
      // Instances report at different times of the interval.
      if (instance.is_running && !instance.is_frozen && (ticks_ + i) % kTicksPerReport == 0) {
        instance.quota->SetPeakFleetSize(instances_.size());
        instance.quota->SetServingInstances(std::min(kSubset, instances_.size()), i < kSubset);
        Report(i);
      }
    }
    auto due = std::move(in_flight_);
    in_flight_.clear();
    for (auto& message : due) {
      if (message.due > now_) {
        in_flight_.push_back(std::move(message));
        continue;
      }
      auto& receiver = instances_[message.to];
      if (receiver.is_running && !receiver.is_frozen) {
        receiver.quota->MergeUsage(AddressOf(message.from), message.incarnation, message.usage,
                                   now_);
        if (const auto answer = receiver.quota->AnswerTo(AddressOf(message.from), now_)) {
          Send(message.to, message.from, *answer);
        }
      } else if (receiver.is_running) {
        in_flight_.push_back(std::move(message));
      }
    }
  }

  // Highest number of calls of the customer that were admitted in any 5 s.
  std::size_t PeakInWindow(std::size_t customer = 0) {
    const auto& times = admitted_[customer];
    std::size_t peak = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] > std::chrono::seconds(5)) {
        ++first;
      }
      peak = std::max(peak, last - first + 1);
    }
    return peak;
  }
  std::size_t AdmittedSince(Instant start, std::size_t customer = 0) {
    const auto& times = admitted_[customer];
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [start](Instant t) { return t >= start; }));
  }

  void ForgetAdmitted() { admitted_.clear(); }

  bool is_running(std::size_t i) const { return instances_[i].is_running; }
  std::size_t size() const { return instances_.size(); }
  Instant now() const { return now_; }
  Random& random() { return random_; }
  FleetQuota& quota(std::size_t i) { return *instances_[i].quota; }

  // Whether a message from one instance reaches another.
  std::function<bool(std::size_t from, std::size_t to)> is_linked = [](auto, auto) { return true; };
  double loss = 0;
  double repeat = 0;
  // Additional delay, random up to this.
  Duration max_delay = Duration::zero();

 private:
  struct Instance {
    std::unique_ptr<FleetQuota> quota;
    Incarnation incarnation;
    bool is_running = true;
    bool is_frozen = false;
    std::size_t next_target = 0;
    // When each other instance was last heard.
    std::map<std::size_t, Instant> heartbeats_from;
  };
  struct Message {
    std::size_t from = 0;
    std::size_t to = 0;
    Incarnation incarnation;
    UsageReport usage;
    Instant due;
  };

  static constexpr std::uint64_t kTicksPerReport = 10;
  static constexpr std::uint64_t kTicksPerHeartbeat = 50;
  static constexpr std::uint64_t kTicksPerProbe = 100;
  // Time until a silent instance counts as lost, and size of a fleet of which nothing is known, as
  // those of FleetTable.
  static constexpr Duration kHeartbeatTimeout = std::chrono::seconds(4);
  static constexpr std::size_t kUnknownFleetSize = 64;

  static std::uint32_t AddressOf(std::size_t i) { return static_cast<std::uint32_t>(i + 1); }

  bool IsAwake(std::size_t i) const { return instances_[i].is_running && !instances_[i].is_frozen; }

  void ExchangeHeartbeats() {
    for (std::size_t to = 0; to < instances_.size(); ++to) {
      if (!IsAwake(to)) {
        continue;
      }
      for (std::size_t from = 0; from < instances_.size(); ++from) {
        if (from != to && IsAwake(from) && is_linked(from, to)) {
          instances_[to].heartbeats_from[from] = now_;
        }
      }
      SetFleetView(to);
    }
  }

  // A machine refuses connections to an instance that has ended. An instance that is suspended or
  // cut off doesn't answer.
  void ProbeSilentPeers() {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (!IsAwake(i)) {
        continue;
      }
      for (std::size_t peer = 0; peer < instances_.size(); ++peer) {
        if (peer != i && !instances_[peer].is_running && is_linked(i, peer)) {
          instances_[i].heartbeats_from.erase(peer);
        }
      }
      for (const auto address : instances_[i].quota->SilentPeers(now_)) {
        if (!instances_[address - 1].is_running && is_linked(i, address - 1)) {
          instances_[i].quota->RecordStopped(address);
        }
      }
      SetFleetView(i);
    }
  }

  void SetFleetView(std::size_t i) {
    const auto& heard = instances_[i].heartbeats_from;
    const auto live = std::count_if(heard.begin(), heard.end(), [this](const auto& entry) {
      return now_ - entry.second < kHeartbeatTimeout;
    });
    instances_[i].quota->SetFleetView(
        static_cast<std::size_t>(live) + 1,
        heard.empty() && instances_.size() > 1 ? kUnknownFleetSize : heard.size() + 1);
  }

  void Report(std::size_t i) {
    auto& instance = instances_[i];
    const auto usage = instance.quota->UsageToReport(now_);
    if (!usage) {
      return;
    }
    std::set<std::size_t> target_set;
    for (const auto address : instance.quota->ActivePeers(now_)) {
      target_set.insert(address - 1);
    }
    std::vector<std::uint32_t> serving;
    for (std::size_t to = 0; to < std::min(kSubset, instances_.size()); ++to) {
      target_set.insert(to);
      serving.push_back(AddressOf(to));
    }
    instance.quota->ExpectAnswers(serving, now_);
    target_set.erase(i);
    const std::vector<std::size_t> targets(target_set.begin(), target_set.end());
    const auto count = std::min(targets.size(), FleetQuota::kMaxReportTargets);
    for (std::size_t n = 0; n < count; ++n) {
      Send(i, targets[instance.next_target++ % targets.size()], *usage);
    }
  }

  void Send(std::size_t from, std::size_t to, const UsageReport& usage) {
    if (!is_linked(from, to) || random_.UniformUnit() < loss) {
      return;
    }
    auto due = now_ + kTick * static_cast<std::int64_t>(random_.UniformBelow(2));
    due += std::chrono::duration_cast<Duration>(max_delay * random_.UniformUnit());
    in_flight_.push_back({from, to, instances_[from].incarnation, usage, due});
    if (random_.UniformUnit() < repeat) {
      in_flight_.push_back(
          {from, to, instances_[from].incarnation, usage, due + std::chrono::milliseconds(200)});
    }
  }

  Table table_;
  Random random_;
  Instant now_ = Instant(std::chrono::hours(1));
  std::uint64_t ticks_ = 0;
  std::vector<Instance> instances_;
  std::vector<Message> in_flight_;
  std::map<std::size_t, std::vector<Instant>> admitted_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_CUSTOMERS_QUOTA_FLEET_H_
