// Quotas in fleets that are cut, where some of the instances had no calls before.
#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

#include "primroseweir/customers/fleet_quota.h"
#include "quota_calls.h"
#include "quota_fleet.h"

namespace primroseweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the instances 0 to 5, which callers are told to use, and `count` others from 6 on.
std::vector<std::size_t> ServingAndOthers(std::size_t count) { return Range(0, 6 + count); }

// Guards against an instance without calls that takes itself for the whole fleet when it is cut off
// and then called, soon or long after the cut.
TEST_CASE("the quota holds when instances without calls are cut off and then called",
          "[customers]") {
  const std::size_t size = GENERATE(14, 117);
  const std::size_t count = GENERATE(1, 3, 8);
  const Duration wait =
      GENERATE(Duration(0), Duration(seconds(1)), Duration(seconds(20)), Duration(seconds(150)));
  const double rate = GENERATE(20.0, 200.0);
  const double calls = 15 * rate;
  QuotaFleet fleet(size, OneCustomer(rate));
  RunCalls(&fleet, Range(0, 6), calls, seconds(12));
  fleet.is_linked = [count](std::size_t from, std::size_t to) {
    const auto is_cut = [count](std::size_t i) { return i >= 6 && i < 6 + count; };
    return !is_cut(from) && !is_cut(to);
  };
  RunCalls(&fleet, Range(0, 6), calls, wait);
  RunCalls(&fleet, ServingAndOthers(count), calls, seconds(12));
  INFO(size << " instances, " << count << " cut off, called after "
            << std::chrono::duration_cast<milliseconds>(wait).count() << " ms, rate " << rate);
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow(rate));
}

// Guards against a half without calls, such as a data centre, that serves a whole quota when it is
// called after a cut.
TEST_CASE("the quota holds when a half of the fleet without calls is cut off and then called",
          "[customers]") {
  const Duration wait = GENERATE(Duration(0), Duration(seconds(5)), Duration(seconds(100)));
  const double rate = GENERATE(20.0, 200.0);
  const double calls = 15 * rate;
  QuotaFleet fleet(42, OneCustomer(rate));
  RunCalls(&fleet, {0, 2, 4}, calls, seconds(12));
  fleet.is_linked = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
  RunCalls(&fleet, {0, 2, 4}, calls, wait);
  RunCalls(&fleet, Range(0, 12), calls, seconds(12));
  INFO("called after " << std::chrono::duration_cast<seconds>(wait).count() << " s, rate " << rate);
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow(rate));
}

// Guards against parts that forget each other during a long cut and then each serve a whole quota.
TEST_CASE("the quota holds through a cut of two minutes", "[customers]") {
  QuotaFleet fleet(12, OneCustomer());
  RunCalls(&fleet, Range(0, 12), 300, seconds(8));
  fleet.is_linked = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
  RunCalls(&fleet, Range(0, 12), 300, seconds(120));
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
}

// Guards against an instance that starts while it is cut off and knows no other one.
TEST_CASE("the quota holds when instances start while they are cut off", "[customers]") {
  QuotaFleet fleet(42, OneCustomer());
  RunCalls(&fleet, Range(0, 6), 300, seconds(8));
  fleet.is_linked = [](std::size_t from, std::size_t to) { return from < 38 && to < 38; };
  for (std::size_t i = 38; i < 42; ++i) {
    fleet.Start(i);
  }
  RunCalls(&fleet, {0, 1, 2, 3, 4, 5, 38, 39, 40, 41}, 400, seconds(12));
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
}

// Guards against a protection that refuses calls in a fleet without faults: callers that come to
// other instances after a pause, one of which has many calls at once.
TEST_CASE("instances in touch that had no calls serve at once", "[customers]") {
  const std::size_t first = GENERATE(0, 50);
  QuotaFleet fleet(117, OneCustomer());
  RunCalls(&fleet, {0}, 0, seconds(10));
  const auto start = fleet.now();
  const auto made = RunCalls(&fleet, Range(first, first + 2), kRate * 0.9, seconds(10));
  CHECK(fleet.AdmittedSince(start) >= made * 9 / 10);
}

// Guards against a minute of refused calls below the limit after half of the instances were stopped
// or killed for good, which the others can tell from a cut.
TEST_CASE("the others serve the whole quota after half of the instances are killed",
          "[customers]") {
  const double rate = GENERATE(20.0, 200.0);
  QuotaFleet fleet(12, OneCustomer(rate, rate));
  RunCalls(&fleet, Range(0, 12), rate * 0.9, seconds(8));
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.Stop(i);
  }
  RunCalls(&fleet, Range(6, 12), rate * 0.9, seconds(2));
  const auto start = fleet.now();
  const auto made = RunCalls(&fleet, Range(6, 12), rate * 0.9, seconds(20));
  CHECK(fleet.AdmittedSince(start) >= made * 95 / 100);
  RunCalls(&fleet, Range(6, 12), 15 * rate, seconds(10));
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow(rate, rate));
}

// Guards against instances that the others know to have ended, and that start again while each of
// them is cut off.
TEST_CASE("the quota holds when killed instances start again while they are cut off",
          "[customers]") {
  QuotaFleet fleet(12, OneCustomer());
  RunCalls(&fleet, Range(0, 12), 300, seconds(8));
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.Stop(i);
  }
  RunCalls(&fleet, Range(6, 12), 300, seconds(3));
  fleet.is_linked = [](std::size_t from, std::size_t to) { return from >= 6 && to >= 6; };
  for (std::size_t i = 0; i < 6; ++i) {
    fleet.Start(i);
  }
  RunCalls(&fleet, Range(0, 12), 300, seconds(20));
  CHECK(static_cast<double>(fleet.PeakInWindow()) <= MostInWindow());
}

}  // namespace
}  // namespace primroseweir::testing
