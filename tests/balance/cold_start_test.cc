#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <vector>

#include "balance_fixture.h"
#include "primroseweir/balance/warm_up_pacer.h"
#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against exceeding the maximum rate of a cold upstream by the sum of independent instances,
// when all learn of the upstream at the same moment and none has contact with the others.
TEST_CASE("instances that are out of contact stay within a cold upstream's maximum rate",
          "[balance][cold-start]") {
  const double max_rate = BalanceFixture::kColdRate * BalanceFixture::kColdRateFactor +
                          BalanceFixture::kColdRateAllowance;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (const std::size_t instances : {1U, 3U, 13U, 17U, 100U}) {
      std::vector<std::unique_ptr<BalanceFixture>> fleet;
      for (std::size_t i = 0; i < instances; ++i) {
        fleet.push_back(std::make_unique<BalanceFixture>(seed * 1000 + i));
        fleet.back()->balancer.SetFleetSize(instances);
        fleet.back()->Add("cold").warm_up_left = seconds(3);
        fleet.back()->Apply();
      }
      std::deque<Instant> sent;
      std::size_t max_sent = 0;
      // Ends just before the upstream is warm.
      for (int step = 0; step < 299; ++step) {
        for (auto& instance : fleet) {
          instance->now += milliseconds(10);
          auto pick = instance->Pick();
          if (pick.upstream != nullptr) {
            instance->balancer.RecordStart(pick.upstream.get(), instance->now);
            instance->balancer.RecordEnd(pick.upstream.get(), UpstreamOutcome::kResponded,
                                         instance->now, 1, instance->now);
            sent.push_back(instance->now);
          }
          while (!sent.empty() && instance->now - sent.front() >= seconds(1)) {
            sent.pop_front();
          }
          max_sent = std::max(max_sent, sent.size());
        }
      }
      CAPTURE(seed, instances);
      CHECK(static_cast<double>(max_sent) <= max_rate);
    }
  }
}

// Guards against a pacer that never permits a call.
TEST_CASE("the pacer permits calls to a cold upstream at the configured rate",
          "[balance][cold-start]") {
  Random random(1);
  WarmUpPacer pacer;
  const WarmUpPacer::Limits limits{4, 11};
  Instant now(seconds(100));
  pacer.Start(limits, 8, now, &random);
  int sent = 0;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(10);
    if (pacer.IsReady(now)) {
      pacer.RecordSent(limits, 8, now);
      ++sent;
    }
  }
  CHECK(sent >= 4);
  CHECK(sent <= 6);
}

}  // namespace
}  // namespace primroseweir
