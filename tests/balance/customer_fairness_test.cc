#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "fairness_model.h"
#include "primroseweir/balance/admission_queue.h"
#include "primroseweir/balance/customer_shares.h"

namespace primroseweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Order = FairnessModel::Order;

constexpr std::uint64_t kBusy = 1;
constexpr std::uint64_t kQuiet = 2;

AdmissionQueue::Claim ClaimOf(std::uint64_t customer, std::uint32_t priority = 1,
                              double weight = 1) {
  return {priority, customer, weight};
}

// A queue whose calls start while there is room, and note their names.
struct NamedCalls {
  AdmissionQueue::Ticket Add(const AdmissionQueue::Claim& claim, char name,
                             Instant latest_start = Instant::max()) {
    return queue.Add(
        claim,
        [this, claim, name](Instant time) {
          if (room == 0) {
            return false;
          }
          --room;
          started += name;
          queue.RecordAttempt(claim, time);
          return true;
        },
        [this, name](Instant) { refused += name; }, latest_start, now);
  }
  void Start(int count) {
    room = count;
    queue.StartWaitingCalls(now);
  }

  AdmissionQueue queue;
  Instant now;
  int room = 0;
  std::string started;
  std::string refused;
};

// Load: one customer fills the queue before another one's call arrives. Guards against customers
// with few calls that wait for all calls of a busy one.
TEST_CASE("customers that wait are served in turn", "[balance]") {
  NamedCalls calls;
  calls.Add(ClaimOf(kBusy), 'a');
  calls.Add(ClaimOf(kBusy), 'b');
  calls.Add(ClaimOf(kBusy), 'c');
  CHECK(calls.queue.CountAhead(ClaimOf(kQuiet)) == 1);
  CHECK(calls.queue.CountAhead(ClaimOf(kBusy)) == 3);
  calls.Add(ClaimOf(kQuiet), 'x');
  calls.Add(ClaimOf(kQuiet), 'y');
  calls.Start(5);
  CHECK(calls.started == "axbyc");
}

// Load: an urgent customer and a busy one with less urgent calls. Guards against shares that
// outweigh the priority.
TEST_CASE("the priority goes before the share", "[balance]") {
  NamedCalls calls;
  calls.Add(ClaimOf(kQuiet, 2), 'x');
  calls.Add(ClaimOf(kBusy, 1), 'a');
  calls.Add(ClaimOf(kBusy, 1), 'b');
  calls.Start(3);
  CHECK(calls.started == "abx");
}

// Load: a customer whose calls are retried and hedged. Guards against attempts that are not charged
// to the customer that causes them.
TEST_CASE("a call that is sent twice counts twice", "[balance]") {
  NamedCalls calls;
  calls.queue.RecordAttempt(ClaimOf(kQuiet), calls.now);
  calls.queue.RecordAttempt(ClaimOf(kBusy), calls.now);
  calls.queue.RecordAttempt(ClaimOf(kBusy), calls.now);
  calls.Add(ClaimOf(kBusy), 'a');
  calls.Add(ClaimOf(kQuiet), 'x');
  calls.Start(2);
  CHECK(calls.started == "xa");
}

// Load: a customer that is alone uses all room, then another one comes. Guards against a customer
// that pays for room that nobody else wanted, or that saves up a claim while it is idle.
TEST_CASE("a customer neither pays for nor saves up unused room", "[balance]") {
  NamedCalls calls;
  for (int i = 0; i < 1000; ++i) {
    calls.queue.RecordAttempt(ClaimOf(kBusy), calls.now);
    calls.queue.RecordEnd(ClaimOf(kBusy));
  }
  for (const char name : std::string("vwxyz")) {
    calls.Add(ClaimOf(kQuiet), name);
  }
  calls.Add(ClaimOf(kBusy), 'a');
  calls.Add(ClaimOf(kBusy), 'b');
  calls.Start(4);
  CHECK(calls.started == "vwax");
}

// Load: a queue that is full of a busy customer's calls. Guards against calls of others that are
// refused instead, and against a refusal of the last call at the end of its wait.
TEST_CASE("a call with a better claim displaces the last one that would be late", "[balance]") {
  NamedCalls calls;
  const auto limit = calls.now + milliseconds(100);
  calls.Add(ClaimOf(kBusy), 'a', limit);
  const auto last_of_busy = calls.Add(ClaimOf(kBusy), 'b', limit);
  const auto quiet = calls.Add(ClaimOf(kQuiet), 'x', limit);
  CHECK_FALSE(calls.queue.DisplaceLast(quiet, milliseconds(100), calls.now));
  CHECK_FALSE(calls.queue.DisplaceLast(last_of_busy, milliseconds(101), calls.now));
  CHECK(calls.queue.DisplaceLast(quiet, milliseconds(101), calls.now));
  CHECK(calls.refused == "b");
  CHECK_FALSE(calls.queue.DisplaceLast(quiet, milliseconds(101), calls.now));
  calls.Start(3);
  CHECK(calls.started == "ax");
}

// Load: a call that may have run at an upstream waits for another one. Guards against a refusal
// that would not be true.
TEST_CASE("a call that can't be refused is not displaced", "[balance]") {
  NamedCalls calls;
  calls.queue.Add(
      ClaimOf(kBusy), [](Instant) { return false; }, nullptr, calls.now, calls.now);
  calls.queue.Add(
      ClaimOf(kBusy), [](Instant) { return false; }, nullptr, calls.now, calls.now);
  const auto quiet = calls.Add(ClaimOf(kQuiet), 'x');
  CHECK_FALSE(calls.queue.DisplaceLast(quiet, seconds(1), calls.now));
  CHECK(calls.queue.size() == 3);
}

// Load: a busy customer that has most calls in flight here, while calls of others wait elsewhere.
// Guards against room that the busy customer inherits from itself.
TEST_CASE("a customer above its share may not wait while calls wait", "[balance]") {
  NamedCalls calls;
  for (int i = 0; i < 10; ++i) {
    calls.queue.RecordAttempt(ClaimOf(kBusy), calls.now);
  }
  CHECK(calls.queue.MayWait(ClaimOf(kBusy)));
  const auto ticket = calls.Add(ClaimOf(kQuiet), 'x');
  CHECK_FALSE(calls.queue.MayWait(ClaimOf(kBusy)));
  CHECK(calls.queue.MayWait(ClaimOf(kQuiet)));
  CHECK(calls.queue.MayWait(ClaimOf(3)));
  calls.queue.Remove(ticket);
  CHECK(calls.queue.MayWait(ClaimOf(kBusy)));
  calls.Add(ClaimOf(kQuiet), 'x');
  for (int i = 0; i < 9; ++i) {
    calls.queue.RecordEnd(ClaimOf(kBusy));
  }
  CHECK(calls.queue.MayWait(ClaimOf(kBusy)));
}

// Load: thousands of customers with one call each. Guards against memory that grows with the number
// of customers that ever called.
TEST_CASE("only customers that called recently are remembered", "[balance]") {
  CustomerShares shares;
  Instant now;
  for (std::uint64_t customer = 0; customer < 100000; ++customer) {
    shares.RecordAttempt(customer, 1, now);
    shares.RecordEnd(customer);
    now += milliseconds(10);
  }
  // As many as call within twice the memory.
  CHECK(shares.size() <= 2 * (CustomerShares::kMemory / milliseconds(10)));
}

// Load: 79 customers on nine instances, one of which sends 7.5 times its usual; the upstreams have
// less room than is asked for. Guards against others that are served less because of it, and
// against customers that are starved.
TEST_CASE("a busy customer doesn't take the room of the others", "[balance]") {
  const auto run = [](Order order, double usual_load, std::size_t busy, std::size_t instances,
                      double factor) {
    FairnessModel::Setup setup;
    setup.order = order;
    setup.usual_load = usual_load;
    setup.busy = busy;
    setup.busy_instances = instances;
    setup.factor = factor;
    return FairnessModel(setup).Run();
  };
  struct Load {
    std::size_t busy;
    double usual_load;
    std::size_t instances;
  };
  for (const auto& load : std::vector<Load>{{0, 0.7, 9}, {0, 0.7, 2}, {9, 0.95, 9}, {78, 1.2, 9}}) {
    CAPTURE(load.busy, load.usual_load, load.instances);
    const auto usual = run(Order::kBothRoot, load.usual_load, load.busy, load.instances, 1);
    const auto result = run(Order::kBothRoot, load.usual_load, load.busy, load.instances, 7.5);
    CHECK(result.ServedShareOfOthers(load.busy) >= 0.9 * usual.ServedShareOfOthers(load.busy));
    CHECK(result.WorstServedShare() >= 0.25 * result.ServedShareOfAll());
    CHECK(result.max_customers_remembered <= FairnessModel::kCustomers);
  }
  // By arrival, the others lose more than a third.
  CHECK(run(Order::kArrival, 0.7, 0, 9, 7.5).ServedShareOfOthers(0) < 0.65);
}

// Load: one customer sends 7.5 times its usual while there is room. Guards against limits that
// apply below the capacity.
TEST_CASE("a busy customer gets what it asks while there is room", "[balance]") {
  FairnessModel::Setup setup;
  setup.order = Order::kBothRoot;
  setup.usual_load = 0.3;
  setup.factor = 7.5;
  const auto result = FairnessModel(setup).Run();
  CHECK(result.ServedShare(0) > 0.98);
  CHECK(result.ServedShareOfOthers(0) > 0.98);
}

}  // namespace
}  // namespace primroseweir::testing
