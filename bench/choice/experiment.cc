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

// Mean speed of an upstream under the noise of FakeUpstream, relative to full speed: on average
// full speed for 50 ms, then half speed for 10 ms.
constexpr double kMeanNoiseSpeedFactor = (50.0 + 0.5 * 10.0) / 60.0;
// Calls that arrive before this time are left out of the latencies, since the instances start
// without load reports and latency averages.
constexpr Duration kSettlingTime = std::chrono::seconds(2);
constexpr std::uint32_t kMaxAttempts = 3;
// Hedge budget that each call adds to its instance. A hedge costs 1, so that in the long run hedges
// are at most a tenth of the calls. Retries after a refusal are not charged.
constexpr double kHedgeBudgetPerCall = 0.1;
constexpr double kMaxHedgeBudget = 10.0;
constexpr std::size_t kMaxRecentLatencies = 500;

struct OpenAttempt {
  std::size_t upstream;
  std::uint64_t id;
  Instant sent_at;
};

struct Call {
  std::size_t instance = 0;
  Instant arrived_at;
  bool is_complete = false;
  std::uint32_t attempts = 0;
  std::vector<OpenAttempt> in_flight;
};

class Experiment {
 public:
  Experiment(const Scenario& scenario, const std::string& policy, std::uint64_t seed)
      : scenario_(scenario), random_(seed), recent_latencies_(scenario.instances) {
    AddUpstreams(seed);
    AddInstances(policy, seed);
    const double capacity = TotalSpeed() / Seconds(scenario_.service_time);
    calls_per_second_ = scenario_.load * capacity;
    budget_.assign(scenario_.instances, kMaxHedgeBudget);
  }

  RunResult Run() {
    for (std::size_t i = 0; i < instances_.size(); ++i) ScheduleArrival(i, start_);
    if (scenario_.straggler_period > Duration::zero()) ScheduleStragglerChange(start_);
    event_queue_.RunUntil(start_ + scenario_.run_length);
    return MakeResult();
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
      if (i < scenario_.stragglers) options.speed = Scenario::kStragglerSpeedFactor;
      upstreams_.push_back(
          std::make_unique<FakeUpstream>(options, seed * 1000 + i, &event_queue_, start_));
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
      const double speed = i < scenario_.stragglers ? Scenario::kStragglerSpeedFactor : 1.0;
      total += scenario_.slots * speed * kMeanNoiseSpeedFactor;
    }
    return total;
  }

  void ScheduleStragglerChange(Instant now) {
    event_queue_.ScheduleAt(now + scenario_.straggler_period, [this](Instant later) {
      SetStragglerSpeed(1.0);
      first_straggler_ = (first_straggler_ + scenario_.stragglers) % scenario_.upstreams;
      SetStragglerSpeed(Scenario::kStragglerSpeedFactor);
      ScheduleStragglerChange(later);
    });
  }

  void SetStragglerSpeed(double speed) {
    for (std::uint32_t i = 0; i < scenario_.stragglers; ++i) {
      upstreams_[(first_straggler_ + i) % scenario_.upstreams]->SetSpeed(speed);
    }
  }

  // Returns the mean time between two calls at the instance.
  double MeanArrivalIntervalSeconds(std::size_t instance) const {
    const double mean_weight = (1.0 + scenario_.load_skew) / 2.0;
    const double weight = instance % 2 == 0 ? scenario_.load_skew : 1.0;
    return scenario_.instances * mean_weight / (weight * calls_per_second_);
  }

  void ScheduleArrival(std::size_t instance, Instant now) {
    const Duration interval =
        FromSeconds(random_.Exponential(MeanArrivalIntervalSeconds(instance)));
    event_queue_.ScheduleAt(now + interval, [this, instance](Instant arrived_at) {
      ScheduleArrival(instance, arrived_at);
      auto call = std::make_shared<Call>();
      call->instance = instance;
      call->arrived_at = arrived_at;
      budget_[instance] = std::min(kMaxHedgeBudget, budget_[instance] + kHedgeBudgetPerCall);
      StartAttempt(call, arrived_at, Instance::kNoUpstream);
      ScheduleHedge(call, arrived_at);
    });
  }

  void StartAttempt(const std::shared_ptr<Call>& call, Instant now, std::size_t excluded) {
    Instance& instance = *instances_[call->instance];
    const std::size_t upstream_index = instance.Pick(now, excluded);
    const std::uint64_t id = next_attempt_id_++;
    ++call->attempts;
    instance.RecordSent(upstream_index);
    const bool is_accepted = upstreams_[upstream_index]->Submit(
        id,
        [this, call, upstream_index, now](Instant end, const FakeUpstream::Report& report) {
          instances_[call->instance]->RecordEnded(upstream_index, end - now, report, end);
          CompleteCall(call, upstream_index, end);
        },
        now);
    if (is_accepted) {
      ++accepted_attempts_;
      call->in_flight.push_back({upstream_index, id, now});
      return;
    }
    instance.RecordRefused(upstream_index, now);
    if (call->attempts < kMaxAttempts) {
      StartAttempt(call, now, upstream_index);
    } else {
      ++failed_calls_;
    }
  }

  void ScheduleHedge(const std::shared_ptr<Call>& call, Instant now) {
    if (scenario_.hedge_quantile <= 0) return;
    const auto delay = HedgeDelay(call->instance);
    if (delay <= Duration::zero()) return;
    event_queue_.ScheduleAt(now + delay, [this, call](Instant later) {
      if (call->is_complete || call->in_flight.empty() || budget_[call->instance] < 1.0) return;
      const std::size_t first_upstream = call->in_flight.front().upstream;
      if (scenario_.hedge_onto_owned_only &&
          !instances_[call->instance]->HasFreeOwnedSlot(first_upstream)) {
        return;
      }
      budget_[call->instance] -= 1.0;
      StartAttempt(call, later, first_upstream);
    });
  }

  Duration HedgeDelay(std::size_t instance) const {
    std::vector<Duration> sorted(recent_latencies_[instance].begin(),
                                 recent_latencies_[instance].end());
    if (sorted.size() < kMaxRecentLatencies / 5) return Duration::zero();
    const auto nth =
        sorted.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(sorted.size() - 1) *
                                                     scenario_.hedge_quantile);
    std::nth_element(sorted.begin(), nth, sorted.end());
    return *nth;
  }

  void CancelOthers(const Call& call, std::size_t responding_upstream, Instant now) {
    for (const OpenAttempt& attempt : call.in_flight) {
      if (attempt.upstream == responding_upstream) continue;
      upstreams_[attempt.upstream]->Cancel(attempt.id, now);
      instances_[call.instance]->RecordCancelled(attempt.upstream, now - attempt.sent_at, now);
    }
  }

  void CompleteCall(const std::shared_ptr<Call>& call, std::size_t responding_upstream,
                    Instant end) {
    if (call->is_complete) return;
    call->is_complete = true;
    CancelOthers(*call, responding_upstream, end);
    auto& recent_latencies = recent_latencies_[call->instance];
    recent_latencies.push_back(end - call->arrived_at);
    if (recent_latencies.size() > kMaxRecentLatencies) recent_latencies.pop_front();
    ++completed_calls_;
    if (call->arrived_at < start_ + kSettlingTime) return;
    latencies_.push_back(Seconds(end - call->arrived_at) * 1000.0);
  }

  RunResult MakeResult() {
    RunResult result;
    std::sort(latencies_.begin(), latencies_.end());
    const auto latency_at = [this](double quantile) {
      if (latencies_.empty()) return 0.0;
      return latencies_[static_cast<std::size_t>(quantile *
                                                 static_cast<double>(latencies_.size() - 1))];
    };
    result.p50_ms = latency_at(0.5);
    result.p99_ms = latency_at(0.99);
    result.p999_ms = latency_at(0.999);
    result.calls = latencies_.size();
    result.failed_calls = failed_calls_;
    result.extra_work =
        completed_calls_ == 0
            ? 0
            : static_cast<double>(accepted_attempts_) / static_cast<double>(completed_calls_) - 1.0;
    return result;
  }

  Scenario scenario_;
  Random random_;
  EventQueue event_queue_;
  Instant start_ = Instant(std::chrono::hours(1));
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::deque<Duration>> recent_latencies_;
  std::vector<double> budget_;
  double calls_per_second_ = 0;
  std::uint32_t first_straggler_ = 0;
  std::vector<double> latencies_;
  std::uint64_t next_attempt_id_ = 0;
  std::uint64_t completed_calls_ = 0;
  std::uint64_t accepted_attempts_ = 0;
  std::uint64_t failed_calls_ = 0;
};

}  // namespace

RunResult RunExperiment(const Scenario& scenario, const std::string& policy, std::uint64_t seed) {
  return Experiment(scenario, policy, seed).Run();
}

}  // namespace primroseweir::bench
