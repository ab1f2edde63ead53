#include "primroseweir/balance/return_schedule.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "primroseweir/balance/priority_admission.h"
#include "primroseweir/balance/retry_policy.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kWork = milliseconds(320);
constexpr Duration kLatencyObjective = milliseconds(800);
constexpr Duration kMaxWait = milliseconds(240);
constexpr Duration kDeadline = seconds(5);
constexpr std::size_t kSlots = 40;

// Shares of the calls of each priority that are served, and served within the latency objective.
struct Served {
  std::array<double, 3> at_all{};
  std::array<double, 3> in_time{};
};

// One instance in front of 40 slots, and callers that return once after a refusal: 0.6 of the
// capacity, for 3 s twice the capacity.
class Burst {
 public:
  Burst(bool is_scheduled, unsigned seed) : is_scheduled_(is_scheduled), engine_(seed) {}

  Served Run() {
    const auto start = now_;
    while (now_ < start + seconds(14)) {
      const bool is_burst = now_ >= start + seconds(2) && now_ < start + seconds(5);
      const bool has_calls = now_ < start + seconds(8);
      EndCalls();
      for (auto due = returns_.begin(); due != returns_.end() && due->first <= now_;
           due = returns_.erase(due)) {
        Arrive(due->second);
      }
      const double capacity = kSlots / std::chrono::duration<double>(kWork).count();
      const double rate = has_calls ? capacity * (is_burst ? 2 : 0.6) : 0;
      std::poisson_distribution<int> count(
          std::max(1e-9, rate * std::chrono::duration<double>(kStep).count()));
      for (int i = count(engine_); i > 0; --i) {
        const auto priority = static_cast<std::uint32_t>(engine_() % 3);
        ++calls_.at(priority);
        Arrive({priority, now_, false});
      }
      now_ += kStep;
    }
    Served served;
    for (std::size_t i = 0; i < served.at_all.size(); ++i) {
      served.at_all.at(i) = static_cast<double>(served_.at(i)) / calls_.at(i);
      served.in_time.at(i) = static_cast<double>(in_time_.at(i)) / calls_.at(i);
    }
    return served;
  }

 private:
  struct Call {
    std::uint32_t priority = 0;
    Instant first_sent;
    bool has_returned = false;
  };
  struct Waiting {
    Call call;
    Instant latest_start;
  };

  double Draw() { return std::uniform_real_distribution<double>()(engine_); }

  void Arrive(const Call& call) {
    admission_.RecordArrival(call.priority, now_);
    if (admission_.ShouldRefuse(call.priority, Draw(), now_)) {
      Refuse(call);
      return;
    }
    if (ends_.size() < kSlots) {
      Start(call);
      return;
    }
    std::size_t ahead = 0;
    for (std::uint32_t priority = 0; priority <= call.priority; ++priority) {
      ahead += queues_.at(priority).size();
    }
    if (kWork * (ahead + 1) / kSlots > kMaxWait) {
      admission_.RecordPlacement(false, now_);
      Refuse(call);
      return;
    }
    queues_.at(call.priority).push_back({call, now_ + kMaxWait});
  }

  void Start(const Call& call) {
    admission_.RecordPlacement(true, now_);
    schedule_.RecordRoom(now_);
    ends_.push_back(now_ + kWork);
    ++served_.at(call.priority);
    in_time_.at(call.priority) += now_ + kWork - call.first_sent <= kLatencyObjective ? 1 : 0;
  }

  void Refuse(Call call) {
    if (std::exchange(call.has_returned, true)) {
      return;
    }
    const Duration latest = (kDeadline - (now_ - call.first_sent)) / 3;
    const auto retry_after =
        is_scheduled_ && admission_.Shortage(now_) > 0
            ? schedule_.RetryAfter(engine_(), call.priority, latest, Draw(), now_)
            : RetryPolicy::RetryAfter(RetryPolicy::RefusalReason::kNoRoom, Duration::zero(),
                                      latest * 3, Draw());
    returns_.emplace(now_ + retry_after, call);
  }

  void EndCalls() {
    while (!ends_.empty() && ends_.front() <= now_) {
      ends_.pop_front();
    }
    for (auto& queue : queues_) {
      while (!queue.empty() && queue.front().latest_start < now_) {
        const auto call = queue.front().call;
        queue.pop_front();
        admission_.RecordPlacement(false, now_);
        Refuse(call);
      }
      while (!queue.empty() && ends_.size() < kSlots) {
        const auto call = queue.front().call;
        queue.pop_front();
        Start(call);
      }
    }
  }

  const bool is_scheduled_;
  std::mt19937 engine_;
  Instant now_{std::chrono::hours(1)};
  PriorityAdmission admission_;
  ReturnSchedule schedule_;
  std::deque<Instant> ends_;
  std::array<std::deque<Waiting>, 3> queues_;
  std::multimap<Instant, Call> returns_;
  std::array<int, 3> calls_{};
  std::array<int, 3> served_{};
  std::array<int, 3> in_time_{};
};

Served MeanOf(bool is_scheduled) {
  constexpr int kRuns = 30;
  Served mean;
  for (unsigned seed = 0; seed < kRuns; ++seed) {
    const auto served = Burst(is_scheduled, seed).Run();
    for (std::size_t i = 0; i < mean.at_all.size(); ++i) {
      mean.at_all.at(i) += served.at_all.at(i) / kRuns;
      mean.in_time.at(i) += served.in_time.at(i) / kRuns;
    }
  }
  return mean;
}

}  // namespace

// Load: twice the capacity for 3 s. Guards against callers that return into the burst that refused
// them and are lost.
TEST_CASE("callers that are told when to return are served more often", "[balance]") {
  const auto before = MeanOf(false);
  const auto after = MeanOf(true);
  for (std::size_t i = 0; i < before.at_all.size(); ++i) {
    INFO("priority " << i << ": served " << before.at_all.at(i) << " -> " << after.at_all.at(i)
                     << ", in time " << before.in_time.at(i) << " -> " << after.in_time.at(i));
    // Some calls are served late instead of others in time.
    CHECK(after.at_all.at(i) > before.at_all.at(i) - 0.02);
    CHECK(after.in_time.at(i) > before.in_time.at(i) - 0.03);
  }
  CHECK(after.at_all[0] >= 0.99);
  CHECK(after.in_time[1] > before.in_time[1]);
  CHECK(after.at_all[2] > before.at_all[2] + 0.05);
}

// Guards against callers that all return at one moment, and urgent ones behind others.
TEST_CASE("returns are spread over the time in which room appears, urgent ones first",
          "[balance]") {
  ReturnSchedule schedule;
  Instant now{std::chrono::hours(1)};
  for (int i = 0; i < 1000; ++i) {
    schedule.RecordRoom(now);
    now += milliseconds(10);
  }
  Duration last = Duration::zero();
  std::uint64_t fingerprint = 0;
  for (int i = 0; i < 50; ++i) {
    const auto wait = schedule.RetryAfter(++fingerprint, 2, seconds(1), 0, now);
    CHECK(wait >= last);
    last = wait;
  }
  // 50 returns at 100 calls a second.
  CHECK(last > milliseconds(450));
  CHECK(last < milliseconds(650));
  CHECK(schedule.RetryAfter(++fingerprint, 0, seconds(1), 0, now) < milliseconds(100));
  // A call that can't come so late returns within its time.
  const auto wait = schedule.RetryAfter(++fingerprint, 2, milliseconds(300), 0.5, now);
  CHECK(wait >= milliseconds(150));
  CHECK(wait <= milliseconds(300));
  // All of them have passed a second later.
  now += seconds(1);
  CHECK(schedule.RetryAfter(++fingerprint, 2, seconds(1), 0, now) == milliseconds(50));
}

// Load: a caller repeats its call at once and often. Guards against repeats that push the others
// back to the end of their time.
TEST_CASE("a call that returns early takes no second place", "[balance]") {
  ReturnSchedule schedule;
  Instant now{std::chrono::hours(1)};
  for (int i = 0; i < 1000; ++i) {
    schedule.RecordRoom(now);
    now += milliseconds(10);
  }
  const auto told = schedule.RetryAfter(1, 1, seconds(1), 0.5, now);
  for (int i = 0; i < 200; ++i) {
    CHECK(schedule.RetryAfter(1, 1, seconds(1), 0.5, now) == told);
  }
  CHECK(schedule.RetryAfter(2, 1, seconds(1), 0.5, now) < milliseconds(100));
  // Nor does memory grow with the calls that are refused.
  for (std::uint64_t other = 3; other < 100000; ++other) {
    schedule.RetryAfter(other, 1, seconds(1), 0.5, now);
  }
  CHECK(schedule.booking_count() <= ReturnSchedule::kMaxBookings);
}

}  // namespace primroseweir
