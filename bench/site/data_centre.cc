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

using standins::CallOutcome;
using std::chrono::seconds;

constexpr int kUpstreams = 6;
constexpr int kSlots = 6;
constexpr double kServiceMilliseconds = 20;
// Two of three data centres must carry the load.
constexpr double kLoad = 0.8 * 2 / 3;
constexpr double kCapacity = kUpstreams * kSlots * 1000.0 / kServiceMilliseconds;
constexpr char kDataCentre[] = "krems";
constexpr Duration kPhase = seconds(6);

testing::SitePlan Plan() {
  testing::SitePlan plan = testing::DonaueisPlan("bench-data-centre");
  for (testing::ServicePlan& service : plan.services) {
    service.upstreams = kUpstreams;
    service.slots = kSlots;
    service.service_ms = kServiceMilliseconds;
    service.cold = true;
  }
  return plan;
}

standins::LoadResult Run(const testing::Site& site, std::uint64_t seed) {
  standins::LoadPlan plan;
  plan.addresses = site.CallerAddresses();
  plan.read_service = "ice-board";
  plan.booking_service = "booking-ledger";
  plan.download_service = "chart-distribution";
  plan.booking_share = 0.1;
  plan.download_share = 0.01;
  plan.download_bytes = 5'000'000;
  plan.rate = kLoad * kCapacity;
  plan.concurrency = 128;
  plan.duration = kPhase;
  plan.seed = seed;
  const std::atomic<bool> never{false};
  return standins::RunLoad(plan, never);
}

std::uint64_t ExecutedIn(const testing::Site& site, bool inside) {
  std::uint64_t executed = 0;
  for (const std::string& id : site.UpstreamIds("ice-board")) {
    if ((site.UpstreamDataCentre(id) == kDataCentre) != inside) continue;
    executed += site.UpstreamState(id).at("executed").get<std::uint64_t>();
  }
  return executed;
}

}  // namespace

nlohmann::json MeasureDataCentre() {
  testing::Site site(Plan());
  nlohmann::json rows = nlohmann::json::array();
  std::uint64_t seed = 1;
  const auto measure = [&](const std::string& phase) {
    const std::uint64_t inside = ExecutedIn(site, true);
    const std::uint64_t outside = ExecutedIn(site, false);
    const auto result = Run(site, seed++);
    nlohmann::json row = {
        {"phase", phase},
        {"executed_in_" + std::string(kDataCentre), ExecutedIn(site, true) - inside},
        {"executed_elsewhere", ExecutedIn(site, false) - outside}};
    for (const auto& [kind, calls] : result) {
      row[kind] = {{"right", calls.Of(CallOutcome::kCorrect)},
                   {"other", calls.Count() - calls.Of(CallOutcome::kCorrect)},
                   {"p50_ms", FractionalMilliseconds(calls.Percentile(0.5))},
                   {"p99_ms", FractionalMilliseconds(calls.Percentile(0.99))}};
    }
    std::printf("%s\n", row.dump().c_str());
    rows.push_back(row);
  };
  measure("warm-up");
  measure("before");
  std::thread leave([&site] {
    std::this_thread::sleep_for(kPhase / 3);
    site.DeclareOut({kDataCentre});
  });
  measure("leaves");
  leave.join();
  measure("out");
  // What returns is cold as a whole.
  for (const std::string& service : {std::string("ice-board"), std::string("booking-ledger"),
                                     std::string("chart-distribution")}) {
    for (const std::string& id : site.UpstreamIds(service)) {
      if (site.UpstreamDataCentre(id) == kDataCentre) site.Control(id, "/cold");
    }
  }
  std::thread back([&site] {
    std::this_thread::sleep_for(kPhase / 3);
    site.DeclareOut({});
  });
  measure("returns");
  back.join();
  measure("after");
  return rows;
}

}  // namespace primroseweir::bench
