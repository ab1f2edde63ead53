#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "bench/site/closed_loop.h"
#include "bench/site/experiments.h"
#include "support/relay.h"
#include "support/site.h"

namespace primroseweir::bench {
namespace {

using std::chrono::seconds;

constexpr int kRepeats = 3;
constexpr Duration kRunLength = seconds(2);
constexpr char kService[] = "ice-board";
// Enough slots and connections that the upstream is not the bottleneck at 512 calls in flight.
constexpr int kSlots = 600;
constexpr int kConnections = 4000;
constexpr int kRelayPort = 9300;
constexpr int kRelayHost = 250;

testing::SitePlan MakePlan() {
  testing::ServicePlan service;
  service.name = kService;
  service.prefix = "ib";
  service.upstreams = 1;
  service.slots = kSlots;
  service.connections = kConnections;
  service.service_ms = 5;
  service.distribution = "fixed";
  service.probe = false;
  testing::SitePlan plan;
  plan.name = "bench-added-time";
  plan.data_centres = {"krems"};
  plan.seats = 1;
  plan.services = {service};
  return plan;
}

struct NamedDestination {
  std::string name;
  Destination destination;
};

SocketAddress FindUpstreamAddress(const testing::Site& site) {
  const auto explanation = site.Admin(0, std::string("/explain?service=") + kService);
  const auto json = nlohmann::json::parse(explanation.value().body);
  const std::string address = json.at("upstreams").at(0).at("address");
  return ParseSocketAddress(address).value();
}

nlohmann::json MeasureAtConcurrency(int concurrency,
                                    const std::vector<NamedDestination>& destinations) {
  nlohmann::json rows = nlohmann::json::array();
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    for (const NamedDestination& named_destination : destinations) {
      const LoopResult result =
          RunClosedLoop(named_destination.destination, concurrency, kRunLength);
      rows.push_back({{"route", named_destination.name},
                      {"in_flight", concurrency},
                      {"repeat", repeat},
                      {"p50_ms", FractionalMilliseconds(result.Percentile(0.5))},
                      {"p99_ms", FractionalMilliseconds(result.Percentile(0.99))},
                      {"p999_ms", FractionalMilliseconds(result.Percentile(0.999))},
                      {"calls_per_second", result.CallsPerSecond()},
                      {"failed", result.failed}});
    }
  }
  return rows;
}

void PrintTable(const nlohmann::json& rows) {
  std::printf("time of a call in ms (the upstream takes 5 ms)\n%-10s %9s %7s %8s %8s %8s %9s %7s\n",
              "route", "in flight", "repeat", "p50", "p99", "p99.9", "calls/s", "failed");
  for (const auto& row : rows) {
    std::printf("%-10s %9d %7d %8.3f %8.3f %8.3f %9.0f %7d\n",
                row.at("route").get<std::string>().c_str(), row.at("in_flight").get<int>(),
                row.at("repeat").get<int>(), row.at("p50_ms").get<double>(),
                row.at("p99_ms").get<double>(), row.at("p999_ms").get<double>(),
                row.at("calls_per_second").get<double>(), row.at("failed").get<int>());
  }
}

}  // namespace

nlohmann::json MeasureAddedTime() {
  testing::Site site(MakePlan());
  const SocketAddress upstream = FindUpstreamAddress(site);
  const testing::Relay relay(site.network().Host(kRelayHost, kRelayPort), upstream);
  const std::vector<NamedDestination> destinations = {
      {"direct", {upstream, "/read/"}},
      {"relay", {relay.address(), "/read/"}},
      {"entry", {site.CallerAddress(0), std::string("/") + kService + "/read/"}}};
  // Grows the upstream's warm-up window before the measured runs.
  RunClosedLoop(destinations.back().destination, 64, kRunLength);
  nlohmann::json rows = nlohmann::json::array();
  for (const int concurrency : {1, 64, 512}) {
    for (auto& row : MeasureAtConcurrency(concurrency, destinations)) rows.push_back(row);
  }
  PrintTable(rows);
  return rows;
}

}  // namespace primroseweir::bench
