#ifndef BENCH_CHOICE_SCENARIOS_H_
#define BENCH_CHOICE_SCENARIOS_H_

#include <vector>

#include "bench/choice/scenario.h"

namespace primroseweir::bench {

// Returns the scenarios in which the policies are compared: the read services of both users (the
// desk and Dakar) at 70 and 90% load, with and without stragglers, and for the desk with fresh and
// old load reports, moving stragglers and unevenly loaded instances.
std::vector<Scenario> AllScenarios();

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_SCENARIOS_H_
