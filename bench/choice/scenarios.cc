#include "bench/choice/scenarios.h"

#include <cmath>
#include <string>

namespace primroseweir::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Percent(double load) { return std::to_string(std::lround(load * 100)); }

Scenario MakeDeskScenario(double load, std::uint32_t stragglers, milliseconds report_period) {
  Scenario scenario;
  scenario.load = load;
  scenario.stragglers = stragglers;
  scenario.report_period = report_period;
  scenario.name = "desk-" + Percent(load) + "-stragglers-" + std::to_string(stragglers) +
                  "-reports-" + std::to_string(report_period.count()) + "ms";
  return scenario;
}

Scenario MakeDakarScenario(double load, std::uint32_t stragglers) {
  Scenario scenario;
  scenario.load = load;
  scenario.stragglers = stragglers;
  scenario.instances = 15;
  scenario.upstreams = 15;
  scenario.slots = 2;
  scenario.service_time = milliseconds(12);
  scenario.run_length = seconds(30);
  scenario.report_period = milliseconds(500);
  scenario.name = "dakar-" + Percent(load) + "-stragglers-" + std::to_string(stragglers);
  return scenario;
}

}  // namespace

std::vector<Scenario> AllScenarios() {
  std::vector<Scenario> scenarios;
  for (const double load : {0.7, 0.9}) {
    for (const auto period : {milliseconds(100), milliseconds(500), milliseconds(2000)}) {
      scenarios.push_back(MakeDeskScenario(load, 2, period));
    }
    scenarios.push_back(MakeDeskScenario(load, 0, milliseconds(500)));
    scenarios.push_back(MakeDakarScenario(load, 0));
    scenarios.push_back(MakeDakarScenario(load, 2));

    Scenario moving_stragglers = MakeDeskScenario(load, 2, milliseconds(500));
    moving_stragglers.straggler_period = seconds(3);
    moving_stragglers.run_length = seconds(20);
    moving_stragglers.name = "desk-" + Percent(load) + "-stragglers-move-every-3s";
    scenarios.push_back(moving_stragglers);

    Scenario uneven_load = MakeDeskScenario(load, 2, milliseconds(500));
    uneven_load.load_skew = 3.0;
    uneven_load.name = "desk-" + Percent(load) + "-half-of-instances-3-times-as-busy";
    scenarios.push_back(uneven_load);
  }
  return scenarios;
}

}  // namespace primroseweir::bench
