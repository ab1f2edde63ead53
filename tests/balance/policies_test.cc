#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "primroseweir/balance/admission_queue.h"
#include "primroseweir/balance/latency_estimator.h"
#include "primroseweir/balance/retry_policy.h"
#include "primroseweir/balance/windowed_retry_budget.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using AttemptEnd = RetryPolicy::AttemptEnd;
using Step = RetryPolicy::Step;

constexpr Instant kNow{std::chrono::hours(1)};

RetryPolicy::State StateOf(CallKind kind, std::uint32_t attempts, bool may_have_executed = false) {
  RetryPolicy::State state;
  state.kind = kind;
  state.attempts = attempts;
  state.max_attempts = 2;
  state.may_have_executed = may_have_executed;
  return state;
}

// Guards against a second execution of a call that must be executed at most once.
TEST_CASE("a call that may have been executed is sent again only if it is idempotent",
          "[balance][at-most-once]") {
  CHECK(RetryPolicy::NextStep(AttemptEnd::kNoResponse, StateOf(CallKind::kNonIdempotent, 1)) ==
        Step::kFail);
  CHECK(RetryPolicy::NextStep(AttemptEnd::kFailed, StateOf(CallKind::kNonIdempotent, 1)) ==
        Step::kForwardFailure);
  CHECK(RetryPolicy::NextStep(AttemptEnd::kNotExecuted, StateOf(CallKind::kNonIdempotent, 1)) ==
        Step::kRetry);
  CHECK(RetryPolicy::NextStep(AttemptEnd::kNoResponse, StateOf(CallKind::kIdempotent, 1)) ==
        Step::kRetry);
  CHECK(RetryPolicy::NextStep(AttemptEnd::kNoResponse, StateOf(CallKind::kDownload, 2)) ==
        Step::kFail);
}

// Guards against reporting a call as not executed when an earlier attempt may have been executed.
TEST_CASE("a refusal after an attempt that may have been executed is a failure",
          "[balance][not-run]") {
  CHECK(RetryPolicy::NextStep(AttemptEnd::kNotExecuted, StateOf(CallKind::kIdempotent, 2, true)) ==
        Step::kFail);
  CHECK(RetryPolicy::NextStep(AttemptEnd::kNotExecuted, StateOf(CallKind::kIdempotent, 2)) ==
        Step::kRefuse);
}

// Guards against a Retry-After that is too long for callers to follow, or that all follow at once.
TEST_CASE("refused callers get a jittered Retry-After within a third of their remaining time",
          "[balance]") {
  const auto retry_after = [](Duration wait, Duration left, double jitter) {
    return RetryPolicy::RetryAfter(RetryPolicy::RefusalReason::kNoRoom, wait, left, jitter);
  };
  const auto early = retry_after(milliseconds(0), milliseconds(1200), 0);
  const auto late = retry_after(milliseconds(0), milliseconds(1200), 0.99);
  CHECK(late - early > milliseconds(200));
  CHECK(retry_after(seconds(3), milliseconds(900), 0.5) == milliseconds(300));
  CHECK(retry_after(seconds(3), milliseconds(-5), 0.5) == Duration::zero());
}

// Guards against retries that come too late for the objective although no wait is needed: upstreams
// that shed a part of their calls at random have room at once.
TEST_CASE("callers that an upstream with room refused get a Retry-After close to zero",
          "[balance]") {
  const auto retry_after = [](Duration left, double jitter) {
    return RetryPolicy::RetryAfter(RetryPolicy::RefusalReason::kRefusedByUpstream, seconds(3), left,
                                   jitter);
  };
  CHECK(retry_after(milliseconds(1200), 0) == Duration::zero());
  CHECK(retry_after(milliseconds(1200), 0.99) < milliseconds(25));
  CHECK(retry_after(milliseconds(30), 0.99) <= milliseconds(10));
}

// Guards against retries that exceed the budget of a service when summed over instances that know
// nothing of each other.
TEST_CASE("the retries of all instances together stay within the retry budget", "[balance]") {
  constexpr std::size_t kInstances = 17;
  WindowedRetryBudget::Limits limits;
  limits.ratio = 0.2;
  limits.allowance = 62;
  std::vector<WindowedRetryBudget> fleet(kInstances, WindowedRetryBudget(limits));
  Instant now(seconds(1000));
  for (int step = 0; step < 400; ++step) {
    now += milliseconds(50);
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
    for (auto& retry_budget : fleet) {
      retry_budget.RecordFirstAttempt(now);
      while (retry_budget.TryAcquire(kInstances, now)) {
      }
      first_attempts += retry_budget.first_attempts(now);
      retries += retry_budget.retries(now);
    }
    CHECK(static_cast<double>(retries) <=
          limits.ratio * static_cast<double>(first_attempts) + limits.allowance);
  }
  CHECK(fleet[0].retries(now) > 0);
  CHECK(fleet[0].retries(now + seconds(11)) == 0);
}

// Load pattern: upstreams that shed a part of their calls while 55% of the instances are killed
// three times within one window. Guards against new processes that spend the allowance of their
// instance again: the sum over all processes exceeded the budget (review: 137 to 155 retries of 129
// to 150).
TEST_CASE("restarted instances do not spend the allowance of their retry budget again",
          "[balance]") {
  constexpr std::size_t kInstances = 17;
  constexpr std::size_t kKilled = 9;
  WindowedRetryBudget::Limits limits;
  limits.ratio = 0.2;
  limits.allowance = 62;
  std::vector<std::unique_ptr<WindowedRetryBudget>> fleet;
  for (std::size_t i = 0; i < kInstances; ++i) {
    fleet.push_back(std::make_unique<WindowedRetryBudget>(limits));
  }
  const Instant start(seconds(1000));
  // Times of all first attempts and retries that reached upstreams.
  std::deque<Instant> first_attempts;
  std::deque<Instant> retries;
  const auto forget = [&](std::deque<Instant>* times, Instant now) {
    while (!times->empty() && times->front() <= now - limits.window) {
      times->pop_front();
    }
  };
  std::size_t most_retries = 0;
  for (int step = 0; step < 600; ++step) {
    const auto now = start + step * milliseconds(50);
    const bool is_kill =
        now - start == seconds(12) || now - start == seconds(14) || now - start == seconds(16);
    for (std::size_t i = 0; is_kill && i < kKilled; ++i) {
      auto restarted = limits;
      restarted.started_at = now;
      fleet[i] = std::make_unique<WindowedRetryBudget>(restarted);
    }
    for (auto& retry_budget : fleet) {
      retry_budget->RecordFirstAttempt(now);
      first_attempts.push_back(now);
      while (retry_budget->TryAcquire(kInstances, now)) {
        retries.push_back(now);
      }
    }
    forget(&first_attempts, now);
    forget(&retries, now);
    most_retries = std::max(most_retries, retries.size());
    CHECK(static_cast<double>(retries.size()) <=
          limits.ratio * static_cast<double>(first_attempts.size()) + limits.allowance);
  }
  CHECK(most_retries > 0);
}

// Guards against a fleet that does not retry at all after its start: the retries for its own first
// attempts are allowed at once, and the allowance grows over the first window.
TEST_CASE("an instance that just started retries in proportion to its calls", "[balance]") {
  WindowedRetryBudget::Limits limits;
  limits.ratio = 0.2;
  limits.allowance = 62;
  limits.started_at = Instant(seconds(1000));
  const auto count_retries = [&limits](int calls, Duration since_start) {
    WindowedRetryBudget retry_budget(limits);
    const auto now = limits.started_at + since_start;
    for (int i = 0; i < calls; ++i) {
      retry_budget.RecordFirstAttempt(now);
    }
    int retries = 0;
    while (retry_budget.TryAcquire(17, now)) {
      ++retries;
    }
    return retries;
  };
  CHECK(count_retries(5, Duration::zero()) == 0);
  CHECK(count_retries(6, Duration::zero()) == 1);
  CHECK(count_retries(100, Duration::zero()) == 18);
  CHECK(count_retries(0, seconds(5)) == 1);
  CHECK(count_retries(0, seconds(10)) == 3);
}

// Guards against urgent calls that wait behind less urgent ones, and against calls that start out
// of order.
TEST_CASE("waiting calls start by priority, then by arrival", "[balance]") {
  AdmissionQueue queue;
  std::string order;
  int room = 0;
  const auto add = [&](std::uint32_t priority, char name) {
    return queue.Add(priority, [&order, &room, name](Instant) {
      if (room == 0) {
        return false;
      }
      --room;
      order += name;
      return true;
    });
  };
  add(2, 'c');
  add(1, 'a');
  const auto removed = add(1, 'x');
  add(1, 'b');
  CHECK(queue.CountAhead(1) == 3);
  CHECK(queue.CountAhead(2) == 4);
  queue.Remove(removed);
  room = 2;
  queue.StartWaitingCalls(Instant());
  CHECK(order == "ab");
  CHECK(queue.size() == 1);
  room = 1;
  queue.StartWaitingCalls(Instant());
  CHECK(order == "abc");
}

// Guards against a queueing time that leaves no time for the response.
TEST_CASE("a call waits only while its response can still meet the objective", "[balance]") {
  CHECK(AdmissionQueue::MaxWait(milliseconds(100), milliseconds(90)) == milliseconds(10));
  CHECK(AdmissionQueue::MaxWait(milliseconds(100), milliseconds(300)) == Duration::zero());
}

// Guards against filling upstreams above the utilisation at which they slow down as a whole.
TEST_CASE("the concurrency limit stays below a knee that lowers throughput", "[balance]") {
  LatencyEstimator with_knee;
  LatencyEstimator without_knee;
  CHECK(with_knee.ConcurrencyLimit(6) == 6);
  for (int i = 0; i < 30; ++i) {
    with_knee.RecordResponse(milliseconds(90), 3, 6, kNow);
    with_knee.RecordResponse(milliseconds(150), 6, 6, kNow);
    without_knee.RecordResponse(milliseconds(90), 3, 6, kNow);
    without_knee.RecordResponse(milliseconds(100), 6, 6, kNow);
  }
  CHECK(with_knee.ConcurrencyLimit(6) == 4);
  CHECK(without_knee.ConcurrencyLimit(6) == 6);
  CHECK(with_knee.latency_estimate() == milliseconds(90));
}

// Guards against an overload that outlasts the burst that caused it: upstreams with five of six
// slots taken served fewer calls than with four, but were taken to serve as many as with six.
TEST_CASE("the throughput above the knee counts the calls that were there", "[balance]") {
  LatencyEstimator estimator;
  for (int i = 0; i < 30; ++i) {
    estimator.RecordResponse(milliseconds(90), 3, 6, kNow);
    estimator.RecordResponse(milliseconds(130), 5, 6, kNow);
  }
  CHECK(estimator.ConcurrencyLimit(6) == 4);
  // Upstreams that do not slow down use all slots, also if few of them lie above the knee.
  LatencyEstimator without_knee;
  for (int i = 0; i < 30; ++i) {
    without_knee.RecordResponse(milliseconds(100), 5, 10, kNow);
    without_knee.RecordResponse(milliseconds(102), 9, 10, kNow);
  }
  CHECK(without_knee.ConcurrencyLimit(10) == 10);
}

// Guards against calls that slow an upstream down for all of its calls while others have room.
TEST_CASE("the load factor states the slowdown above the knee", "[balance]") {
  LatencyEstimator estimator;
  CHECK(estimator.LoadFactor(6, 6) == 1);
  for (int i = 0; i < 30; ++i) {
    estimator.RecordResponse(milliseconds(100), 3, 6, kNow);
    estimator.RecordResponse(milliseconds(170), 6, 6, kNow);
  }
  CHECK(estimator.LoadFactor(4, 6) == 1);
  CHECK(estimator.LoadFactor(5, 6) == Approx(1.7));
}

}  // namespace
}  // namespace primroseweir
