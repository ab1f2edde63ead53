#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "bench/site/experiments.h"
#include "caller/load.h"
#include "support/site.h"

namespace primroseweir::bench {
namespace {

using standins::Outcome;
using std::chrono::seconds;

constexpr int kUpstreams = 6;
constexpr int kSlots = 6;
constexpr double kServiceMilliseconds = 20;
// Load as a fraction of the capacity of all three data centres: 80% of the capacity of two, which
// carry it while one is out.
constexpr double kLoadFraction = 0.8 * 2 / 3;
constexpr double kCapacityPerSecond = kUpstreams * kSlots * 1000.0 / kServiceMilliseconds;
constexpr char kDataCentre[] = "krems";
constexpr Duration kPhaseLength = seconds(6);

testing::SitePlan MakePlan() {
  testing::SitePlan plan = testing::DonaueisPlan("bench-data-centre");
  for (testing::ServicePlan& service : plan.services) {
    service.upstreams = kUpstreams;
    service.slots = kSlots;
    service.service_ms = kServiceMilliseconds;
    service.cold = true;
  }
  return plan;
}

standins::LoadResult RunLoadPhase(const testing::Site& site, std::uint64_t seed) {
  standins::LoadPlan plan;
  plan.addresses = site.CallerAddresses();
  plan.read_service = "ice-board";
  plan.booking_service = "booking-ledger";
  plan.download_service = "chart-distribution";
  plan.booking_share = 0.1;
  plan.download_share = 0.01;
  plan.download_bytes = 5'000'000;
  plan.rate = kLoadFraction * kCapacityPerSecond;
  plan.concurrency = 128;
  plan.duration = kPhaseLength;
  plan.seed = seed;
  const std::atomic<bool> never_stop{false};
  return standins::RunLoad(plan, never_stop);
}

std::uint64_t CountExecuted(const testing::Site& site, bool inside) {
  std::uint64_t executed = 0;
  for (const std::string& id : site.UpstreamIds("ice-board")) {
    if ((site.UpstreamDataCentre(id) == kDataCentre) != inside) continue;
    executed += site.UpstreamState(id).at("executed").get<std::uint64_t>();
  }
  return executed;
}

}  // namespace

nlohmann::json MeasureDataCentre() {
  testing::Site site(MakePlan());
  nlohmann::json rows = nlohmann::json::array();
  std::uint64_t seed = 1;
  const auto measure = [&](const std::string& phase) {
    const std::uint64_t inside = CountExecuted(site, true);
    const std::uint64_t outside = CountExecuted(site, false);
    const auto result = RunLoadPhase(site, seed++);
    nlohmann::json row = {
        {"phase", phase},
        {"executed_in_" + std::string(kDataCentre), CountExecuted(site, true) - inside},
        {"executed_elsewhere", CountExecuted(site, false) - outside}};
    for (const auto& [kind, calls] : result) {
      row[kind] = {{"right", calls.Of(Outcome::kCorrect)},
                   {"other", calls.Count() - calls.Of(Outcome::kCorrect)},
                   {"p50_ms", FractionalMilliseconds(calls.Percentile(0.5))},
                   {"p99_ms", FractionalMilliseconds(calls.Percentile(0.99))}};
    }
    std::printf("%s\n", row.dump().c_str());
    rows.push_back(row);
  };
  measure("warm-up");
  measure("before");
  std::thread leave_thread([&site] {
    std::this_thread::sleep_for(kPhaseLength / 3);
    site.DeclareOut({kDataCentre});
  });
  measure("leaves");
  leave_thread.join();
  measure("out");
  // Makes all upstreams of the data centre cold, so that it returns without any warm upstream.
  for (const std::string& service : {std::string("ice-board"), std::string("booking-ledger"),
                                     std::string("chart-distribution")}) {
    for (const std::string& id : site.UpstreamIds(service)) {
      if (site.UpstreamDataCentre(id) == kDataCentre) site.Control(id, "/cold");
    }
  }
  std::thread return_thread([&site] {
    std::this_thread::sleep_for(kPhaseLength / 3);
    site.DeclareOut({});
  });
  measure("returns");
  return_thread.join();
  measure("after");
  return rows;
}

}  // namespace primroseweir::bench
