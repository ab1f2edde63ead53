#ifndef TESTS_SUPPORT_SITE_PLAN_H_
#define TESTS_SUPPORT_SITE_PLAN_H_

#include <string>
#include <vector>

namespace primroseweir::testing {

// Stand-in upstreams of one service.
struct ServicePlan {
  std::string name;
  // Ids are PREFIX-1, PREFIX-2 and so on; data centres take turns.
  std::string prefix;
  int upstreams = 3;
  int slots = 6;
  int connections = 260;
  double service_ms = 2;
  // "exponential" or "fixed".
  std::string distribution = "exponential";
  bool idempotent = true;
  bool cold = false;
  // Whether the list names a probe.
  bool probe = true;
  std::vector<std::string> depends_on;
  // Connections go through a relay that the test may silence or cut.
  bool relay = false;
};

// A whole system on one machine.
struct SitePlan {
  std::string name = "site";
  std::vector<std::string> data_centres{"krems", "melk", "spitz"};
  int entries_per_data_centre = 1;
  // Seats of the fleet's fixed shares; 0 takes twice the entry instances.
  int seats = 0;
  std::vector<ServicePlan> services;
};

// The services of the Donaueis desk in docs/design.md section 1.1.
SitePlan DonaueisPlan(const std::string& name);

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_SITE_PLAN_H_
