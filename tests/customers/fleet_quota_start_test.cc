// Quotas right after instances start.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>

#include "primroseweir/customers/fleet_quota.h"
#include "quota_calls.h"
#include "quota_fleet.h"

namespace primroseweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Outcome {
  double refused_percent = 0;
  std::size_t peak = 0;
};

// All of 42 instances lose power for a second; callers use the first six. Counts from the return of
// the instances for 3 s.
Outcome LosePower(double rate, double burst, double calls_per_second) {
  QuotaFleet fleet(42, OneCustomer(rate, burst), 7);
  RunCalls(&fleet, Range(0, 6), calls_per_second, seconds(10));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.Stop(i);
  }
  RunCalls(&fleet, {0}, 0, seconds(1));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.Start(i);
  }
  // Until then an instance has no configuration.
  RunCalls(&fleet, {0}, 0, milliseconds(300));
  const auto start = fleet.now();
  const auto made = RunCalls(&fleet, Range(0, 6), calls_per_second, seconds(3));
  const auto admitted = fleet.AdmittedSince(start);
  RunCalls(&fleet, Range(0, 6), calls_per_second, seconds(5));
  return {100 * static_cast<double>(made - admitted) / static_cast<double>(made),
          fleet.PeakInWindow()};
}

// Guards against calls below the limit that are refused after the whole fleet has lost power, and
// against a new burst beside that of before.
TEST_CASE("calls below the limit are served right after a power loss", "[customers]") {
  const double rate = GENERATE(2.0, 20.0, 100.0);
  INFO("rate " << rate);
  const auto below = LosePower(rate, rate, 0.62 * rate);
  const auto above = LosePower(rate, rate, 15 * rate);
  CHECK(below.refused_percent <= 5);
  CHECK(static_cast<double>(above.peak) <= MostInWindow(rate, rate));
}

// Prints what is refused and what passes after a power loss; see docs/design/quotas.md.
TEST_CASE("table of starts", "[.][table]") {
  std::printf("| rate | burst | refused below, %% | passed above, %% |\n|---|---|---|---|\n");
  for (const double rate : {1.0, 2.0, 5.0, 20.0, 100.0}) {
    for (const double burst : {1.0, rate / 2, 2 * rate}) {
      const auto below = LosePower(rate, burst, 0.62 * rate);
      const auto above = LosePower(rate, burst, 15 * rate);
      std::printf("| %.0f | %.1f | %.1f | %.0f |\n", rate, burst, below.refused_percent,
                  100 * static_cast<double>(above.peak) / MostInWindow(rate, burst));
    }
  }
}

}  // namespace
}  // namespace primroseweir::testing
