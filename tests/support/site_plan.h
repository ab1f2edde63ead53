#ifndef TESTS_SUPPORT_SITE_PLAN_H_
#define TESTS_SUPPORT_SITE_PLAN_H_

#include <string>
#include <vector>

namespace primroseweir::testing {

// Describes the stand-in upstreams of one service.
struct ServicePlan {
  std::string name;
  // Upstream ids are PREFIX-1, PREFIX-2 and so on, assigned to the data centres in rotation.
  std::string prefix;
  int upstreams = 3;
  int slots = 6;
  int connections = 260;
  // Mean service time of a call in milliseconds.
  double service_ms = 2;
  // Distribution of the service time: "exponential" or "fixed".
  std::string distribution = "exponential";
  bool idempotent = true;
  // Whether the upstreams start cold.
  bool cold = false;
  // Whether the instance list declares a probe for the upstreams.
  bool probe = true;
  std::vector<std::string> depends_on;
  // Whether connections pass through a relay with which the test can stall or close them.
  bool relay = false;
};

// Describes a complete system on one machine.
struct SitePlan {
  std::string name = "site";
  std::vector<std::string> data_centres{"krems", "melk", "spitz"};
  int entries_per_data_centre = 1;
  // Number of seats among which the fleet divides its fixed shares; 0 stands for twice the planned
  // number of entry instances.
  int seats = 0;
  std::vector<ServicePlan> services;
};

// Returns a plan with the three services of the Donaueis desk, the example system of the tests, the
// demo and the benchmarks: ice-board (reads, 20 upstreams), booking-ledger (non-idempotent
// bookings, 10 upstreams, depends on ice-board) and chart-distribution (downloads, 5 upstreams).
SitePlan DonaueisPlan(const std::string& name);

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_SITE_PLAN_H_
