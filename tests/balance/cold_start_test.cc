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

// Guards against the sum of independent instances that exceeds what a cold upstream bears, when all
// of them learn of it at the same moment and none hears of the others.
TEST_CASE("a fleet that is out of touch stays below a cold upstream's ceiling",
          "[balance][cold-start]") {
  const double max_rate =
      BalanceFixture::kColdRate * BalanceFixture::kColdFactor + BalanceFixture::kColdExtra;
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
      std::size_t most = 0;
      // Until just before the upstream is warm.
      for (int step = 0; step < 299; ++step) {
        for (auto& instance : fleet) {
          instance->now += milliseconds(10);
          auto pick = instance->Pick();
          if (pick.upstream != nullptr) {
            instance->balancer.RecordStart(pick.upstream.get(), instance->now);
            instance->balancer.RecordEnd(pick.upstream.get(), UpstreamOutcome::kAnswered,
                                         instance->now, 1, instance->now);
            sent.push_back(instance->now);
          }
          while (!sent.empty() && instance->now - sent.front() >= seconds(1)) {
            sent.pop_front();
          }
          most = std::max(most, sent.size());
        }
      }
      CAPTURE(seed, instances);
      CHECK(static_cast<double>(most) <= max_rate);
    }
  }
}

// Guards against a pace that never lets a call through.
TEST_CASE("a cold upstream gets calls at its pace", "[balance][cold-start]") {
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
