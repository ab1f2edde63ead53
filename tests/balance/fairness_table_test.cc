#include <catch2/catch.hpp>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "fairness_model.h"

namespace primroseweir::testing {
namespace {

using Order = FairnessModel::Order;

// Prints the table of docs/design/fairness.md.
TEST_CASE("shares of customers under a busy one, by order of the queue", "[.table]") {
  const std::vector<std::pair<Order, const char*>> orders = {
      {Order::kArrival, "arrival"},
      {Order::kTagsEqual, "start-time fair, equal"},
      {Order::kTagsQuota, "start-time fair, by quota"},
      {Order::kTagsRoot, "start-time fair, by root of quota"},
      {Order::kRoundRobin, "deficit round robin"},
      {Order::kConcurrency, "shares of concurrency"},
      {Order::kBothEqual, "both, equal"},
      {Order::kBothQuota, "both, by quota"},
      {Order::kBothRoot, "both, by root of quota"}};
  struct Load {
    std::size_t busy;
    double usual_load;
    std::size_t instances;
  };
  const std::vector<Load> loads = {
      {0, 0.7, 9}, {0, 0.7, 2}, {9, 0.95, 9}, {9, 0.95, 2}, {78, 1.2, 9}};
  for (const auto& load : loads) {
    std::printf("\nBusy customer: %zu by size, at %zu instances. Usual load: %.2f.\n\n",
                load.busy + 1, load.instances, load.usual_load);
    std::printf("| order | factor | others | p99 of others, ms | busy | worst | remembered |\n");
    std::printf("|---|---|---|---|---|---|---|\n");
    for (const auto& [order, name] : orders) {
      for (const double factor : {1.0, 7.5}) {
        FairnessModel::Setup setup;
        setup.order = order;
        setup.usual_load = load.usual_load;
        setup.busy = load.busy;
        setup.factor = factor;
        setup.busy_instances = load.instances;
        const auto result = FairnessModel(setup).Run();
        std::printf("| %s | %.1f | %.3f | %.0f | %.3f | %.3f | %zu |\n", name, factor,
                    result.ServedShareOfOthers(load.busy), result.P99OfOthersMs(),
                    result.ServedShare(load.busy), result.WorstServedShare(),
                    result.max_customers_remembered);
      }
    }
  }
}

}  // namespace
}  // namespace primroseweir::testing
