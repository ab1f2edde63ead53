#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "primroseweir/balance/call_policy.h"
#include "primroseweir/balance/retry_ledger.h"
#include "primroseweir/balance/service_load.h"
#include "primroseweir/balance/wait_queue.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Ending = CallPolicy::Ending;
using Step = CallPolicy::Step;

CallPolicy::State StateOf(CallKind kind, std::uint32_t sends, bool may_have_run = false) {
  CallPolicy::State state;
  state.kind = kind;
  state.sends = sends;
  state.max_sends = 2;
  state.may_have_run = may_have_run;
  return state;
}

// Guards against a second run of a call that must run at most once.
TEST_CASE("a call that may have run is sent again only if it may repeat",
          "[balance][at-most-once]") {
  CHECK(CallPolicy::After(Ending::kLost, StateOf(CallKind::kOnce, 1)) == Step::kFail);
  CHECK(CallPolicy::After(Ending::kFailed, StateOf(CallKind::kOnce, 1)) == Step::kPass);
  CHECK(CallPolicy::After(Ending::kNotRun, StateOf(CallKind::kOnce, 1)) == Step::kTryElsewhere);
  CHECK(CallPolicy::After(Ending::kLost, StateOf(CallKind::kRepeatable, 1)) == Step::kTryElsewhere);
  CHECK(CallPolicy::After(Ending::kLost, StateOf(CallKind::kDownload, 2)) == Step::kFail);
}

// Guards against "not run" for a call of which an earlier attempt may have run.
TEST_CASE("a refusal after an attempt that may have run is a failure", "[balance][not-run]") {
  CHECK(CallPolicy::After(Ending::kNotRun, StateOf(CallKind::kRepeatable, 2, true)) == Step::kFail);
  CHECK(CallPolicy::After(Ending::kNotRun, StateOf(CallKind::kRepeatable, 2)) == Step::kRefuse);
}

// Guards against a Retry-After that callers don't follow, or follow all at once.
TEST_CASE("refused callers come back spread over a time that they have", "[balance]") {
  const auto after = [](Duration wait, Duration left, double spread) {
    return CallPolicy::RetryAfter(CallPolicy::Refusal::kNoRoom, wait, left, spread);
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
  const auto after = [](Duration left, double spread) {
    return CallPolicy::RetryAfter(CallPolicy::Refusal::kByUpstream, seconds(3), left, spread);
  };
  CHECK(after(milliseconds(1200), 0) == Duration::zero());
  CHECK(after(milliseconds(1200), 0.99) < milliseconds(25));
  CHECK(after(milliseconds(30), 0.99) <= milliseconds(10));
}

// Guards against repeats that, summed over instances that know nothing of each other, exceed the
// budget of a service.
TEST_CASE("the repeats of all instances stay within the budget", "[balance]") {
  constexpr std::size_t kInstances = 17;
  RetryLedger::Budget budget;
  budget.ratio = 0.2;
  budget.allowance = 62;
  std::vector<RetryLedger> fleet(kInstances, RetryLedger(budget));
  Instant now(seconds(1000));
  for (int step = 0; step < 400; ++step) {
    now += milliseconds(50);
    std::uint64_t firsts = 0;
    std::uint64_t repeats = 0;
    for (auto& ledger : fleet) {
      ledger.NoteFirst(now);
      while (ledger.TrySpend(kInstances, now)) {
      }
      firsts += ledger.firsts(now);
      repeats += ledger.repeats(now);
    }
    CHECK(static_cast<double>(repeats) <=
          budget.ratio * static_cast<double>(firsts) + budget.allowance);
  }
  CHECK(fleet[0].repeats(now) > 0);
  CHECK(fleet[0].repeats(now + seconds(11)) == 0);
}

// Guards against urgent calls that wait behind others, and against calls that start out of turn.
TEST_CASE("waiting calls start by priority, then by arrival", "[balance]") {
  WaitQueue queue;
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
  CHECK(queue.Ahead(1) == 3);
  CHECK(queue.Ahead(2) == 4);
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
  CHECK(WaitQueue::LongestWait(milliseconds(100), milliseconds(90)) == milliseconds(10));
  CHECK(WaitQueue::LongestWait(milliseconds(100), milliseconds(300)) == Duration::zero());
}

// Guards against filling upstreams beyond the point from which they slow down as a whole.
TEST_CASE("the limit stays below a knee that costs throughput", "[balance]") {
  ServiceLoad with_knee;
  ServiceLoad without;
  CHECK(with_knee.Limit(6) == 6);
  for (int i = 0; i < 30; ++i) {
    with_knee.NoteAnswer(milliseconds(90), 3, 6);
    with_knee.NoteAnswer(milliseconds(150), 6, 6);
    without.NoteAnswer(milliseconds(90), 3, 6);
    without.NoteAnswer(milliseconds(100), 6, 6);
  }
  CHECK(with_knee.Limit(6) == 4);
  CHECK(without.Limit(6) == 6);
  CHECK(with_knee.usual() == milliseconds(90));
}

}  // namespace
}  // namespace primroseweir
