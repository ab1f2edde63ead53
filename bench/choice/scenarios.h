#ifndef BENCH_CHOICE_SCENARIOS_H_
#define BENCH_CHOICE_SCENARIOS_H_

#include <vector>

#include "bench/choice/scenario.h"

namespace primroseweir::bench {

// The experiments of docs/decisions/choice-of-upstream.md: both users' read services at 70 and 90%
// load, with and without stragglers, with fresh and old reports, evenly and unevenly loaded.
std::vector<Scenario> AllScenarios();

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_SCENARIOS_H_
