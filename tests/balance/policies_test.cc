#include <catch2/catch.hpp>
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
using AttemptOutcome = RetryPolicy::AttemptOutcome;
using Step = RetryPolicy::Step;

RetryPolicy::State StateOf(CallKind kind, std::uint32_t attempts, bool may_have_executed = false) {
  RetryPolicy::State state;
  state.kind = kind;
  state.attempts = attempts;
  state.max_attempts = 2;
  state.may_have_executed = may_have_executed;
  return state;
}

// Guards against a second run of a call that must run at most once.
TEST_CASE("a call that may have run is sent again only if it may repeat",
          "[balance][at-most-once]") {
  CHECK(RetryPolicy::NextStep(AttemptOutcome::kLost, StateOf(CallKind::kNonIdempotent, 1)) ==
        Step::kFail);
  CHECK(RetryPolicy::NextStep(AttemptOutcome::kFailed, StateOf(CallKind::kNonIdempotent, 1)) ==
        Step::kForwardFailure);
  CHECK(RetryPolicy::NextStep(AttemptOutcome::kNotExecuted, StateOf(CallKind::kNonIdempotent, 1)) ==
        Step::kRetry);
  CHECK(RetryPolicy::NextStep(AttemptOutcome::kLost, StateOf(CallKind::kIdempotent, 1)) ==
        Step::kRetry);
  CHECK(RetryPolicy::NextStep(AttemptOutcome::kLost, StateOf(CallKind::kDownload, 2)) ==
        Step::kFail);
}

// Guards against "not run" for a call of which an earlier attempt may have run.
TEST_CASE("a refusal after an attempt that may have run is a failure", "[balance][not-run]") {
  CHECK(RetryPolicy::NextStep(AttemptOutcome::kNotExecuted,
                              StateOf(CallKind::kIdempotent, 2, true)) == Step::kFail);
  CHECK(RetryPolicy::NextStep(AttemptOutcome::kNotExecuted, StateOf(CallKind::kIdempotent, 2)) ==
        Step::kRefuse);
}

// Guards against a Retry-After that callers don't follow, or follow all at once.
TEST_CASE("refused callers come back spread over a time that they have", "[balance]") {
  const auto after = [](Duration wait, Duration left, double jitter) {
    return RetryPolicy::RetryAfter(RetryPolicy::RefusalReason::kNoRoom, wait, left, jitter);
  };
  const auto early = after(milliseconds(0), milliseconds(1200), 0);
  const auto late = after(milliseconds(0), milliseconds(1200), 0.99);
  CHECK(late - early > milliseconds(200));
  CHECK(after(seconds(3), milliseconds(900), 0.5) == milliseconds(300));
  CHECK(after(seconds(3), milliseconds(-5), 0.5) == Duration::zero());
}

// Guards against callers that come back too late for their objective although nothing would have
// kept them waiting: upstreams that shed a part of their calls at random.
TEST_CASE("callers that an upstream refused come back at once", "[balance]") {
  const auto after = [](Duration left, double jitter) {
    return RetryPolicy::RetryAfter(RetryPolicy::RefusalReason::kRefusedByUpstream, seconds(3), left,
                                   jitter);
  };
  CHECK(after(milliseconds(1200), 0) == Duration::zero());
  CHECK(after(milliseconds(1200), 0.99) < milliseconds(25));
  CHECK(after(milliseconds(30), 0.99) <= milliseconds(10));
}

// Guards against repeats that, summed over instances that know nothing of each other, exceed the
// budget of a service.
TEST_CASE("the repeats of all instances stay within the budget", "[balance]") {
  constexpr std::size_t kInstances = 17;
  WindowedRetryBudget::Limits budget;
  budget.ratio = 0.2;
  budget.allowance = 62;
  std::vector<WindowedRetryBudget> fleet(kInstances, WindowedRetryBudget(budget));
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
          budget.ratio * static_cast<double>(first_attempts) + budget.allowance);
  }
  CHECK(fleet[0].retries(now) > 0);
  CHECK(fleet[0].retries(now + seconds(11)) == 0);
}

// Guards against urgent calls that wait behind others, and against calls that start out of turn.
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
  const auto dropped = add(1, 'x');
  add(1, 'b');
  CHECK(queue.CountAhead(1) == 3);
  CHECK(queue.CountAhead(2) == 4);
  queue.Remove(dropped);
  room = 2;
  queue.Offer(Instant());
  CHECK(order == "ab");
  CHECK(queue.size() == 1);
  room = 1;
  queue.Offer(Instant());
  CHECK(order == "abc");
}

// Guards against a wait that leaves no time for the answer.
TEST_CASE("a call waits only while its answer can still be in time", "[balance]") {
  CHECK(AdmissionQueue::MaxWait(milliseconds(100), milliseconds(90)) == milliseconds(10));
  CHECK(AdmissionQueue::MaxWait(milliseconds(100), milliseconds(300)) == Duration::zero());
}

// Guards against filling upstreams beyond the point from which they slow down as a whole.
TEST_CASE("the limit stays below a knee that costs throughput", "[balance]") {
  LatencyEstimator with_knee;
  LatencyEstimator without;
  CHECK(with_knee.ConcurrencyLimit(6) == 6);
  for (int i = 0; i < 30; ++i) {
    with_knee.RecordResponse(milliseconds(90), 3, 6);
    with_knee.RecordResponse(milliseconds(150), 6, 6);
    without.RecordResponse(milliseconds(90), 3, 6);
    without.RecordResponse(milliseconds(100), 6, 6);
  }
  CHECK(with_knee.ConcurrencyLimit(6) == 4);
  CHECK(without.ConcurrencyLimit(6) == 6);
  CHECK(with_knee.latency_estimate() == milliseconds(90));
}

}  // namespace
}  // namespace primroseweir
