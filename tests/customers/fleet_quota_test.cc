#include "primroseweir/customers/fleet_quota.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "quota_calls.h"
#include "quota_fleet.h"
#include "support/property.h"

namespace primroseweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an instance that refuses what its customer's quota allows because the callers use
// few instances, as fixed shares do.
TEST_CASE("callers at one or three instances get the whole rate within a second", "[customers]") {
  for (const std::size_t count : {1, 3}) {
    QuotaFleet fleet(117, OneCustomer());
    RunCalls(&fleet, {5}, 0, seconds(10));
    RunCalls(&fleet, Range(0, count), kRate * 0.95, seconds(1));
    const auto start = fleet.now();
    const auto made = RunCalls(&fleet, Range(0, count), kRate * 0.95, seconds(10));
    CHECK(fleet.AdmittedSince(start) >= made * 98 / 100);
    CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
  }
}

// Guards against a share that stays where the callers were.
TEST_CASE("callers that move to another data centre keep their rate", "[customers]") {
  QuotaFleet fleet(13, OneCustomer());
  RunCalls(&fleet, {0, 1}, kRate * 0.9, seconds(6));
  const auto start = fleet.now();
  const auto made = RunCalls(&fleet, {4, 5}, kRate * 0.9, seconds(6));
  CHECK(fleet.AdmittedSince(start) >= made * 9 / 10);
}

// Guards against a sum over the fleet above the quota, from few instances to all of a large fleet.
TEST_CASE("far too many calls are admitted up to the quota", "[customers]") {
  for (const std::size_t size : {13, 117, 300}) {
    for (const std::size_t count : {std::size_t{1}, std::size_t{10}, size}) {
      if (count == 300) {
        continue;
      }
      QuotaFleet fleet(size, OneCustomer());
      RunCalls(&fleet, {0}, 0, seconds(10));
      RunCalls(&fleet, Range(0, count), 1000, seconds(15));
      const auto start = fleet.now();
      RunCalls(&fleet, Range(0, count), 1000, seconds(10));
      INFO(size << " instances, calls at " << count);
      CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
      CHECK(static_cast<double>(fleet.AdmittedSince(start)) >= kRate * 10 * 0.85);
    }
  }
}

// Guards against a fleet that never settles to the quota when all of its instances have calls.
TEST_CASE("300 instances that all have calls settle to the quota", "[customers]") {
  QuotaFleet fleet(300, OneCustomer());
  RunCalls(&fleet, Range(0, 300), 1000, seconds(20));
  fleet.ForgetAdmitted();
  RunCalls(&fleet, Range(0, 300), 1000, seconds(20));
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
  CHECK(static_cast<double>(fleet.AdmittedSince(Instant())) >= kRate * 20 * 0.85);
}

// Guards against several quotas at once when callers come to all instances after a pause, before
// the instances know of each other.
TEST_CASE("300 instances that get calls at the same moment hold the quota", "[customers]") {
  QuotaFleet fleet(300, OneCustomer());
  RunCalls(&fleet, {0}, 0, seconds(10));
  RunCalls(&fleet, Range(0, 300), 1000, seconds(10));
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
}

// Guards against parts of a divided fleet that each serve a whole quota, and against an isolated
// instance that does.
TEST_CASE("the quota holds while the fleet is cut", "[customers]") {
  const std::size_t size = GENERATE(6, 13, 117);
  const std::size_t isolated = GENERATE(1, 0);
  QuotaFleet fleet(size, OneCustomer());
  const auto all = Range(0, size);
  RunCalls(&fleet, all, 300, seconds(8));
  fleet.is_linked = [isolated](std::size_t from, std::size_t to) {
    return isolated != 0 ? from != 3 && to != 3 : from % 2 == to % 2;
  };
  RunCalls(&fleet, all, 300, seconds(12));
  fleet.is_linked = [](auto, auto) { return true; };
  RunCalls(&fleet, all, 300, seconds(8));
  INFO(size << " instances, " << (isolated != 0 ? "one isolated" : "cut in two"));
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
}

// Guards against a cut that hits full buckets, which both parts would use.
TEST_CASE("the quota holds when calls begin right after a cut", "[customers]") {
  QuotaFleet fleet(6, OneCustomer());
  RunCalls(&fleet, Range(0, 6), 5, seconds(8));
  fleet.is_linked = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
  RunCalls(&fleet, Range(0, 6), 400, seconds(10));
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
}

// Guards against instances that start with a whole new burst.
TEST_CASE("the quota holds through kills and power loss", "[customers]") {
  const std::size_t size = GENERATE(6, 117);
  const std::size_t killed = GENERATE(2, 1);
  QuotaFleet fleet(size, OneCustomer());
  const auto all = Range(0, size);
  RunCalls(&fleet, all, 300, seconds(5));
  for (int round = 0; round < 4; ++round) {
    for (std::size_t i = 0; i < size; i += killed) {
      fleet.Stop(i);
    }
    RunCalls(&fleet, all, 300, seconds(1));
    for (std::size_t i = 0; i < size; i += killed) {
      fleet.Start(i);
    }
    RunCalls(&fleet, all, 300, milliseconds(2500));
  }
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
}

// Guards against an instance that wakes with a full bucket and old counts of the others.
TEST_CASE("the quota holds when suspended instances wake", "[customers]") {
  QuotaFleet fleet(6, OneCustomer());
  const auto all = Range(0, 6);
  RunCalls(&fleet, all, 300, seconds(6));
  for (int round = 0; round < 3; ++round) {
    fleet.Freeze(0, true);
    fleet.Freeze(4, true);
    RunCalls(&fleet, all, 300, seconds(3));
    fleet.Freeze(0, false);
    fleet.Freeze(4, false);
    RunCalls(&fleet, all, 300, seconds(2));
  }
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
}

// Guards against instances that join with buckets of their own.
TEST_CASE("the quota holds while instances are added", "[customers]") {
  QuotaFleet fleet(6, OneCustomer());
  RunCalls(&fleet, Range(0, 6), 300, seconds(5));
  for (int i = 0; i < 20; ++i) {
    fleet.Add();
    RunCalls(&fleet, Range(0, fleet.size()), 300, milliseconds(500));
  }
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
}

// Guards against a lower limit that is reached only after the old bucket is used up.
TEST_CASE("a lowered limit binds within one window", "[customers]") {
  QuotaFleet fleet(6, OneCustomer(100, 200));
  RunCalls(&fleet, Range(0, 6), 300, seconds(8));
  fleet.Apply(OneCustomer(10, 10));
  RunCalls(&fleet, Range(0, 6), 300, seconds(5));
  const auto start = fleet.now();
  RunCalls(&fleet, Range(0, 6), 300, seconds(5));
  CHECK(static_cast<double>(fleet.AdmittedSince(start)) <= MostInWindow(10, 10));
}

// Guards against a loss of served calls for customers below their limit when instances are killed.
TEST_CASE("customers below their limit are served while instances are killed", "[customers]") {
  QuotaFleet fleet(6, OneCustomer());
  RunCalls(&fleet, Range(0, 6), kRate / 2, seconds(5));
  fleet.Stop(0);
  const auto start = fleet.now();
  const auto made = RunCalls(&fleet, Range(1, 6), kRate / 2, seconds(10));
  CHECK(fleet.AdmittedSince(start) >= made * 95 / 100);
}

// Guards against a refused caller that returns when it was told to and is refused again.
TEST_CASE("a caller that returns after Retry-After is served", "[customers]") {
  QuotaFleet fleet(1, OneCustomer());
  RunCalls(&fleet, {0}, 0, seconds(10));
  // Refused requests, each with the time at which it returns.
  std::multimap<Instant, std::uint64_t> callers;
  std::uint64_t requests = 0;
  std::size_t returned = 0;
  std::size_t served = 0;
  for (const auto end = fleet.now() + seconds(10); fleet.now() < end;) {
    fleet.Tick();
    const auto ask = [&](std::uint64_t request, bool is_return) {
      const auto decision = fleet.Ask(0, 0, request);
      returned += is_return ? 1 : 0;
      served += is_return && decision.admitted ? 1 : 0;
      if (decision.admitted) {
        return;
      }
      CHECK(decision.retry_after > Duration::zero());
      CHECK(decision.retry_after <= FleetQuota::kMaxRetryAfter);
      if (!is_return && decision.retry_after < FleetQuota::kMaxRetryAfter) {
        callers.emplace(fleet.now() + decision.retry_after, request);
      }
    };
    if (fleet.random().UniformUnit() < 0.5) {
      ask(++requests, false);
    }
    while (!callers.empty() && callers.begin()->first <= fleet.now()) {
      const auto request = callers.begin()->second;
      callers.erase(callers.begin());
      ask(request, true);
    }
  }
  REQUIRE(returned > 20);
  CHECK(served >= returned * 95 / 100);
}

// Guards against credit that is lost with calls that were refused for want of room.
TEST_CASE("a call that was not sent gives its credit back", "[customers]") {
  QuotaFleet fleet(2, OneCustomer());
  RunCalls(&fleet, {0}, 0, seconds(10));
  const auto& customer = OneCustomer()->customers()[0];
  std::size_t admitted = 0;
  for (int i = 0; i < 200; ++i) {
    fleet.Tick();
    if (fleet.Ask(0).admitted) {
      ++admitted;
      fleet.quota(0).Refund(customer, fleet.now());
    }
  }
  CHECK(admitted == 200);
  // The peer has not charged them.
  CHECK(fleet.Ask(1).admitted);
}

// Guards against state of customers that are quiet, of which there may be thousands.
TEST_CASE("only active customers take memory and space in reports", "[customers]") {
  std::vector<CustomerTable::Entry> entries;
  for (int i = 0; i < 5000; ++i) {
    entries.push_back(MakeQuota("c" + std::to_string(i), kRate, kBurst));
  }
  QuotaFleet fleet(3, *CustomerTable::Create(entries));
  RunCalls(&fleet, {0}, 10, seconds(3), 17);
  CHECK(fleet.quota(0).active_customers() == 1);
  CHECK(fleet.quota(0).UsageToReport(fleet.now())->customers.size() == 1);
  RunCalls(&fleet, {0}, 0, FleetQuota::kStateRetention + seconds(1));
  RunCalls(&fleet, {0}, 10, seconds(1), 18);
  CHECK(fleet.quota(0).active_customers() == 1);
  for (std::size_t customer = 0; customer < 1000; ++customer) {
    fleet.Ask(0, customer);
  }
  CHECK(fleet.quota(0).UsageToReport(fleet.now())->customers.size() ==
        FleetQuota::kMaxReportedCustomers);
}

// Guards against a call that is charged to a state which its own look-up has removed: the first
// call of a customer after a long pause was not counted.
TEST_CASE("the first call after a long pause is counted", "[customers]") {
  const auto table = OneCustomer();
  FleetQuota quota(1);
  Instant now = Instant() + std::chrono::hours(1);
  quota.SetServingInstances(1, true);
  quota.Apply(table.get(), now);
  for (int second = 0; second < 10; ++second) {
    now += seconds(1);
    quota.TryAcquire(table->customers()[0], 1, now);
  }
  now += FleetQuota::kStateRetention + seconds(1);
  CHECK(quota.TryAcquire(table->customers()[0], 2, now).admitted);
  CHECK(quota.active_customers() == 1);
}

// Guards against a bucket that absurd numbers of a peer keep empty, and against memory for
// customers that do not exist.
TEST_CASE("forged counts do no lasting harm", "[customers]") {
  QuotaFleet fleet(2, OneCustomer());
  RunCalls(&fleet, {0}, kRate / 2, seconds(5));
  const auto id = static_cast<std::uint32_t>(OneCustomer()->customers()[0].hash);
  UsageReport usage;
  usage.customers = {{id, 0xffffffff, 0xffff}, {id, 0x7fffffff, 1}, {id, 3, 0}, {id + 1, 9, 9}};
  usage.active_peers = {1, 2};
  fleet.quota(0).MergeUsage(9, Incarnation(5), usage, fleet.now());
  CHECK(fleet.quota(0).active_customers() == 1);
  RunCalls(&fleet, {0}, kRate / 2, seconds(8));
  const auto start = fleet.now();
  const auto made = RunCalls(&fleet, {0}, kRate / 2, seconds(5));
  CHECK(fleet.AdmittedSince(start) >= made * 9 / 10);
}

// Guards against reports that are charged twice or undone, on networks that lose, delay, repeat
// and reorder datagrams.
TEST_CASE("the quota holds and is served on a bad network", "[customers]") {
  CHECK(CheckProperty("lost, repeated and reordered reports", [] {
    QuotaFleet fleet(6, OneCustomer(), *rc::gen::inRange<std::uint64_t>(1, 1000000));
    fleet.loss = *rc::gen::inRange(0, 10) / 100.0;
    fleet.repeat = *rc::gen::inRange(0, 30) / 100.0;
    fleet.max_delay = milliseconds(*rc::gen::inRange(0, 100));
    RunCalls(&fleet, Range(0, 6), kRate * 0.8, seconds(4));
    const auto start = fleet.now();
    const auto made = RunCalls(&fleet, Range(0, 6), kRate * 0.8, seconds(3));
    RC_ASSERT(fleet.AdmittedSince(start) >= made * 8 / 10);
    RunCalls(&fleet, Range(0, 6), 200, seconds(6));
    RC_ASSERT(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
  }));
}

// Guards against sequences of faults that together let more pass than each alone.
TEST_CASE("the quota holds through random sequences of faults", "[customers]") {
  CHECK(CheckProperty("kills, cuts and freezes", [] {
    const std::size_t size = 8;
    QuotaFleet fleet(size, OneCustomer(), *rc::gen::inRange<std::uint64_t>(1, 1000000));
    const auto all = Range(0, size);
    RunCalls(&fleet, all, 200, seconds(2));
    for (const int fault : *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 5))) {
      const auto i = fleet.random().UniformBelow(size);
      if (fault == 0) {
        fleet.is_running(i) ? fleet.Stop(i) : fleet.Start(i);
      } else if (fault == 1) {
        fleet.is_linked = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
      } else if (fault == 2) {
        fleet.is_linked = [](auto, auto) { return true; };
      } else {
        fleet.Freeze(i, fault == 3);
      }
      RunCalls(&fleet, all, 200, milliseconds(700));
    }
    RC_ASSERT(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
  }));
}

}  // namespace
}  // namespace primroseweir::testing
