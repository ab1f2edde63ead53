#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>

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
// Calls per second that the upstreams of one service can execute.
constexpr double kCapacityPerSecond = kUpstreams * kSlots * 1000.0 / kServiceMilliseconds;

testing::SitePlan MakePlan() {
  testing::SitePlan plan = testing::DonaueisPlan("bench-overload");
  for (testing::ServicePlan& service : plan.services) {
    service.upstreams = kUpstreams;
    service.slots = kSlots;
    service.service_ms = kServiceMilliseconds;
  }
  return plan;
}

standins::LoadResult RunLoadAt(const testing::Site& site, double load, Duration length,
                               std::uint64_t seed) {
  standins::LoadPlan plan;
  plan.addresses = site.CallerAddresses();
  plan.read_service = "ice-board";
  plan.booking_service = "booking-ledger";
  plan.booking_share = 0.1;
  plan.rate = load * kCapacityPerSecond;
  plan.concurrency = 256;
  plan.duration = length;
  plan.call_timeout = seconds(1);
  plan.seed = seed;
  const std::atomic<bool> never_stop{false};
  return standins::RunLoad(plan, never_stop);
}

nlohmann::json MakeRow(const std::string& phase, double load, Duration length,
                       const standins::LoadResult& result) {
  nlohmann::json row = {{"phase", phase}, {"load", load}};
  for (const auto& [kind, calls] : result) {
    const double correct_per_second = static_cast<double>(calls.Of(Outcome::kCorrect)) /
                                      std::chrono::duration<double>(length).count();
    row[kind] = {{"useful_per_second", correct_per_second},
                 {"not_run", calls.Of(Outcome::kNotRun)},
                 {"unknown", calls.Of(Outcome::kUnknown)},
                 {"wrong", calls.Of(Outcome::kWrong) + calls.Of(Outcome::kTruncated)},
                 {"p50_ms", FractionalMilliseconds(calls.Percentile(0.5))},
                 {"p99_ms", FractionalMilliseconds(calls.Percentile(0.99))}};
  }
  return row;
}

}  // namespace

nlohmann::json MeasureOverload() {
  testing::Site site(MakePlan());
  constexpr Duration kLength = seconds(5);
  nlohmann::json rows = nlohmann::json::array();
  struct Phase {
    const char* name;
    double load;
  };
  std::uint64_t seed = 1;
  std::printf("overload: capacity of the read service %.0f calls/s\n", kCapacityPerSecond);
  for (const Phase& phase : {Phase{"warm-up", 0.5}, Phase{"normal", 0.7}, Phase{"overload", 1.5},
                             Phase{"after", 0.7}, Phase{"overload", 3.0}, Phase{"after", 0.7}}) {
    const auto result = RunLoadAt(site, phase.load, kLength, seed++);
    rows.push_back(MakeRow(phase.name, phase.load, kLength, result));
    std::printf("%s\n", rows.back().dump().c_str());
  }
  return rows;
}

}  // namespace primroseweir::bench
