#ifndef PRIMROSEWEIR_TESTS_BALANCE_BALANCE_FIXTURE_H_
#define PRIMROSEWEIR_TESTS_BALANCE_BALANCE_FIXTURE_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/balance/load_balancer.h"
#include "primroseweir/routes/route_table.h"

namespace primroseweir {

// A load balancer with upstreams of the service "s" in the data centres "here" and "there".
struct BalanceFixture {
  static constexpr double kColdRate = 4;
  static constexpr double kColdRateFactor = 1.5;
  static constexpr double kColdRateAllowance = 5;

  static LoadBalancer::Options OptionsOf(std::uint64_t seed) {
    LoadBalancer::Options options;
    options.data_centre = DataCentre("here");
    options.random_seed = seed;
    options.cold_rate_factor = kColdRateFactor;
    options.cold_rate_allowance = kColdRateAllowance;
    return options;
  }

  static RouteTable Routes() {
    ServiceSettings service;
    service.probe_target = "/health";
    service.cold_rate = kColdRate;
    return RouteTable(1, {}, {{ServiceName("s"), service}}, CallerLimits());
  }

  explicit BalanceFixture(std::uint64_t seed = 1) : routes(Routes()), balancer(OptionsOf(seed)) {}

  UpstreamRecord& Add(const std::string& id, const std::string& data_centre = "here") {
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.service = ServiceName("s");
    record.data_centre = DataCentre(data_centre);
    record.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + records.size())};
    record.slots = 4;
    records.push_back(record);
    return records.back();
  }

  void Apply() { balancer.Apply(records, data_centres_out, routes, now); }

  LoadBalancer::PickResult Pick(CallKind kind = CallKind::kIdempotent) {
    LoadBalancer::PickArgs args;
    args.service = ServiceName("s");
    args.kind = kind;
    return balancer.Pick(args, now);
  }

  // Returns the id of the picked upstream, "" for none.
  std::string PickId(CallKind kind = CallKind::kIdempotent) {
    const auto pick = Pick(kind);
    return pick.upstream == nullptr ? "" : pick.upstream->record().id.value();
  }

  BalancedUpstream& At(const std::string& id) { return *balancer.Find(UpstreamId(id)); }

  void Report(const std::string& id, std::uint32_t running, double slowdown) {
    UpstreamLoadReport load;
    load.running = running;
    load.slots = 4;
    load.slowdown = slowdown;
    At(id).RecordProbeResponse();
    At(id).RecordReport(load, BalancedUpstream::ReportSource::kProbe, now);
  }

  RouteTable routes;
  LoadBalancer balancer;
  std::vector<UpstreamRecord> records;
  std::set<DataCentre> data_centres_out;
  Instant now = Instant(std::chrono::hours(1));
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_BALANCE_BALANCE_FIXTURE_H_
