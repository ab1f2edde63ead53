#include "bench/choice/experiment.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

#include "bench/choice/event_queue.h"
#include "bench/choice/fake_upstream.h"
#include "bench/choice/instance.h"
#include "primroseweir/routing/load_balancing_policy.h"
#include "primroseweir/routing/slot_ownership.h"

namespace primroseweir::bench {
namespace {

// Upstreams run at this mean speed under the noise of FakeUpstream: full for 50 ms, half for 10 ms.
constexpr double kMeanNoise = (50.0 + 0.5 * 10.0) / 60.0;
// Results before this time are left out, since the instances know nothing yet.
constexpr Duration kSettlingTime = std::chrono::seconds(2);
constexpr std::uint32_t kMaxAttempts = 3;
// Hedges and retries are at most this part of first attempts.
constexpr double kExtraBudget = 0.1;
constexpr double kExtraBudgetCap = 10.0;
constexpr std::size_t kRecentLatencies = 500;

struct OpenAttempt {
  std::size_t upstream;
  std::uint64_t number;
  Instant sent;
};

struct Call {
  std::size_t instance = 0;
  Instant arrived;
  bool answered = false;
  std::uint32_t attempts = 0;
  std::vector<OpenAttempt> open;
};

class Experiment {
 public:
  Experiment(const Scenario& scenario, const std::string& policy, std::uint64_t seed)
      : scenario_(scenario), random_(seed), recent_(scenario.instances) {
    AddUpstreams(seed);
    AddInstances(policy, seed);
    const double capacity = TotalSpeed() / Seconds(scenario_.service_time);
    calls_per_second_ = scenario_.load * capacity;
    budget_.assign(scenario_.instances, kExtraBudgetCap);
  }

  RunResult Run() {
    for (std::size_t i = 0; i < instances_.size(); ++i) ScheduleArrival(i, start_);
    if (scenario_.straggler_period > Duration::zero()) ScheduleStragglerChange(start_);
    queue_.RunUntil(start_ + scenario_.length);
    return Result();
  }

 private:
  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }
  static Duration FromSeconds(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }

  void AddUpstreams(std::uint64_t seed) {
    for (std::uint32_t i = 0; i < scenario_.upstreams; ++i) {
      FakeUpstream::Options options;
      options.slots = scenario_.slots;
      options.service_time = scenario_.service_time;
      options.report_period = scenario_.report_period;
      if (i < scenario_.stragglers) options.speed = Scenario::kStragglerSpeed;
      upstreams_.push_back(
          std::make_unique<FakeUpstream>(options, seed * 1000 + i, &queue_, start_));
    }
  }

  void AddInstances(const std::string& policy, std::uint64_t seed) {
    std::vector<FakeUpstream*> upstreams;
    std::vector<OwnableUpstream> ownable;
    for (const auto& upstream : upstreams_) {
      ownable.push_back({UpstreamId("u" + std::to_string(upstreams.size())), upstream->slots()});
      upstreams.push_back(upstream.get());
    }
    std::set<Seat> seats;
    for (std::uint32_t i = 0; i < scenario_.instances; ++i) seats.insert(Seat(i));
    for (std::uint32_t i = 0; i < scenario_.instances; ++i) {
      instances_.push_back(std::make_unique<Instance>(MakeLoadBalancingPolicy(policy), upstreams,
                                                      OwnedSlots(ownable, seats, Seat(i)),
                                                      seed * 1000 + 500 + i));
    }
  }

  double TotalSpeed() const {
    double total = 0;
    for (std::uint32_t i = 0; i < scenario_.upstreams; ++i) {
      const double speed = i < scenario_.stragglers ? Scenario::kStragglerSpeed : 1.0;
      total += scenario_.slots * speed * kMeanNoise;
    }
    return total;
  }

  void ScheduleStragglerChange(Instant now) {
    queue_.At(now + scenario_.straggler_period, [this](Instant later) {
      SetStragglerSpeed(1.0);
      first_straggler_ = (first_straggler_ + scenario_.stragglers) % scenario_.upstreams;
      SetStragglerSpeed(Scenario::kStragglerSpeed);
      ScheduleStragglerChange(later);
    });
  }

  void SetStragglerSpeed(double speed) {
    for (std::uint32_t i = 0; i < scenario_.stragglers; ++i) {
      upstreams_[(first_straggler_ + i) % scenario_.upstreams]->SetSpeed(speed);
    }
  }

  // Mean time between two calls at the instance.
  double ArrivalSeconds(std::size_t instance) const {
    const double mean_weight = (1.0 + scenario_.skew) / 2.0;
    const double weight = instance % 2 == 0 ? scenario_.skew : 1.0;
    return scenario_.instances * mean_weight / (weight * calls_per_second_);
  }

  void ScheduleArrival(std::size_t instance, Instant now) {
    const Duration gap = FromSeconds(random_.Exponential(ArrivalSeconds(instance)));
    queue_.At(now + gap, [this, instance](Instant arrived) {
      ScheduleArrival(instance, arrived);
      auto call = std::make_shared<Call>();
      call->instance = instance;
      call->arrived = arrived;
      budget_[instance] = std::min(kExtraBudgetCap, budget_[instance] + kExtraBudget);
      Attempt(call, arrived, Instance::kNone);
      ScheduleHedge(call, arrived);
    });
  }

  void Attempt(const std::shared_ptr<Call>& call, Instant now, std::size_t excluded) {
    Instance& instance = *instances_[call->instance];
    const std::size_t chosen = instance.Pick(now, excluded);
    const std::uint64_t number = next_number_++;
    ++call->attempts;
    instance.RecordSent(chosen);
    const bool taken = upstreams_[chosen]->Submit(
        number,
        [this, call, chosen, now](Instant end, const FakeUpstream::Report& report) {
          instances_[call->instance]->RecordEnded(chosen, end - now, report, end);
          Finish(call, chosen, end);
        },
        now);
    if (taken) {
      ++executed_;
      call->open.push_back({chosen, number, now});
      return;
    }
    instance.RecordRefused(chosen, now);
    if (call->attempts < kMaxAttempts) {
      Attempt(call, now, chosen);
    } else {
      ++failed_;
    }
  }

  void ScheduleHedge(const std::shared_ptr<Call>& call, Instant now) {
    if (scenario_.hedge_quantile <= 0) return;
    const auto delay = HedgeDelay(call->instance);
    if (delay <= Duration::zero()) return;
    queue_.At(now + delay, [this, call](Instant later) {
      if (call->answered || call->open.empty() || budget_[call->instance] < 1.0) return;
      const std::size_t first = call->open.front().upstream;
      if (scenario_.hedge_onto_owned_only && !instances_[call->instance]->HasFreeOwnedSlot(first)) {
        return;
      }
      budget_[call->instance] -= 1.0;
      Attempt(call, later, first);
    });
  }

  Duration HedgeDelay(std::size_t instance) const {
    std::vector<Duration> sorted(recent_[instance].begin(), recent_[instance].end());
    if (sorted.size() < kRecentLatencies / 5) return Duration::zero();
    const auto nth =
        sorted.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size() - 1) *
                                                     scenario_.hedge_quantile);
    std::nth_element(sorted.begin(), nth, sorted.end());
    return *nth;
  }

  void CancelOthers(const Call& call, std::size_t winner, Instant now) {
    for (const OpenAttempt& attempt : call.open) {
      if (attempt.upstream == winner) continue;
      upstreams_[attempt.upstream]->Cancel(attempt.number, now);
      instances_[call.instance]->RecordCancelled(attempt.upstream, now - attempt.sent, now);
    }
  }

  void Finish(const std::shared_ptr<Call>& call, std::size_t winner, Instant end) {
    if (call->answered) return;
    call->answered = true;
    CancelOthers(*call, winner, end);
    auto& recent = recent_[call->instance];
    recent.push_back(end - call->arrived);
    if (recent.size() > kRecentLatencies) recent.pop_front();
    ++answered_;
    if (call->arrived < start_ + kSettlingTime) return;
    latencies_.push_back(Seconds(end - call->arrived) * 1000.0);
  }

  RunResult Result() {
    RunResult result;
    std::sort(latencies_.begin(), latencies_.end());
    const auto at = [this](double quantile) {
      if (latencies_.empty()) return 0.0;
      return latencies_[static_cast<std::size_t>(quantile *
                                                 static_cast<double>(latencies_.size() - 1))];
    };
    result.p50 = at(0.5);
    result.p99 = at(0.99);
    result.p999 = at(0.999);
    result.calls = latencies_.size();
    result.failed = failed_;
    result.extra_work =
        answered_ == 0 ? 0 : static_cast<double>(executed_) / static_cast<double>(answered_) - 1.0;
    return result;
  }

  Scenario scenario_;
  Random random_;
  EventQueue queue_;
  Instant start_ = Instant(std::chrono::hours(1));
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::deque<Duration>> recent_;
  std::vector<double> budget_;
  double calls_per_second_ = 0;
  std::uint32_t first_straggler_ = 0;
  std::vector<double> latencies_;
  std::uint64_t next_number_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t executed_ = 0;
  std::uint64_t failed_ = 0;
};

}  // namespace

RunResult RunExperiment(const Scenario& scenario, const std::string& policy, std::uint64_t seed) {
  return Experiment(scenario, policy, seed).Run();
}

}  // namespace primroseweir::bench
