#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
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

// Prints the processor time of what a call adds for its customer: looking for calls ahead, one
// attempt and its end, with 79 customers of which a few have calls waiting.
TEST_CASE("processor time of the customers' shares", "[.table]") {
  AdmissionQueue queue;
  const auto claim_of = [](std::uint64_t customer) {
    return AdmissionQueue::Claim{1, customer * 0x9e3779b97f4a7c15U,
                                 1 + static_cast<double>(customer % 7)};
  };
  Instant now;
  for (std::uint64_t customer = 0; customer < 5; ++customer) {
    queue.Add(
        claim_of(customer), [](Instant) { return false; }, nullptr, now, now);
  }
  constexpr int kCalls = 1000000;
  std::size_t ahead = 0;
  const auto started = std::clock();
  for (int i = 0; i < kCalls; ++i) {
    const auto claim = claim_of(static_cast<std::uint64_t>(i) % 79);
    ahead += queue.CountAhead(claim) + (queue.MayWait(claim) ? 1 : 0);
    queue.RecordAttempt(claim, now);
    queue.RecordEnd(claim);
    now += std::chrono::microseconds(100);
  }
  const double seconds = static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
  std::printf("%.0f ns a call (%zu)\n", seconds / kCalls * 1e9, ahead / kCalls);
}

}  // namespace
}  // namespace primroseweir::testing
