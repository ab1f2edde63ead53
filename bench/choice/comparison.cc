#include "bench/choice/comparison.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "primroseweir/routing/load_balancing_policy.h"

namespace primroseweir::bench {
namespace {

// HedgePolicy sends a hedge after the 90th percentile; see docs/decisions/choice-of-upstream.md.
constexpr double kHedgeQuantile = 0.9;

std::vector<Variant> AllVariants() {
  std::vector<Variant> variants = {{kOracle, kOracle, 0}};
  const std::string chosen = LoadBalancingPolicyNames().front();
  variants.push_back({chosen + "+hedge", chosen, kHedgeQuantile});
  for (const std::string& name : LoadBalancingPolicyNames()) variants.push_back({name, name, 0});
  variants.push_back({"two-random+hedge", "two-random", kHedgeQuantile});
  return variants;
}

Spread SpreadOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {values.front(), values[values.size() / 2], values.back()};
}

template <typename Member>
std::vector<double> Values(const std::vector<RunResult>& runs, Member member) {
  std::vector<double> values;
  for (const RunResult& run : runs) values.push_back(run.*member);
  return values;
}

template <typename Member>
Spread Ratio(const std::vector<RunResult>& runs, const std::vector<RunResult>& oracle,
             Member member) {
  std::vector<double> ratios;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    ratios.push_back(runs[i].*member / (oracle[i].*member));
  }
  return SpreadOf(ratios);
}

std::vector<RunResult> RunRepeats(Scenario scenario, const Variant& variant, std::uint64_t seed,
                                  std::uint32_t repeats) {
  scenario.hedge_quantile = variant.hedge_quantile;
  std::vector<RunResult> runs;
  for (std::uint32_t i = 0; i < repeats; ++i) {
    runs.push_back(RunExperiment(scenario, variant.policy, seed + i));
  }
  return runs;
}

Row MakeRow(const Scenario& scenario, const Variant& variant, const std::vector<RunResult>& runs,
            const std::vector<RunResult>& oracle) {
  Row row;
  row.scenario = scenario.name;
  row.variant = variant.name;
  row.p50 = SpreadOf(Values(runs, &RunResult::p50));
  row.p99 = SpreadOf(Values(runs, &RunResult::p99));
  row.p999 = SpreadOf(Values(runs, &RunResult::p999));
  row.p99_to_oracle = Ratio(runs, oracle, &RunResult::p99);
  row.p999_to_oracle = Ratio(runs, oracle, &RunResult::p999);
  row.extra_work = SpreadOf(Values(runs, &RunResult::extra_work)).median;
  for (const RunResult& run : runs) row.failed += run.failed;
  return row;
}

std::vector<Row> CompareIn(const Scenario& scenario, std::uint64_t seed, std::uint32_t repeats) {
  const std::vector<Variant> variants = AllVariants();
  std::vector<std::future<std::vector<RunResult>>> pending;
  for (const Variant& variant : variants) {
    pending.push_back(std::async(std::launch::async, RunRepeats, scenario, variant, seed, repeats));
  }
  std::vector<std::vector<RunResult>> results;
  for (auto& result : pending) results.push_back(result.get());
  std::vector<Row> rows;
  for (std::size_t i = 0; i < variants.size(); ++i) {
    rows.push_back(MakeRow(scenario, variants[i], results[i], results[0]));
  }
  return rows;
}

nlohmann::json ToJson(const Spread& spread) {
  return {{"low", spread.low}, {"median", spread.median}, {"high", spread.high}};
}

nlohmann::json ToJson(const Row& row) {
  return {{"scenario", row.scenario},
          {"policy", row.variant},
          {"p50_ms", ToJson(row.p50)},
          {"p99_ms", ToJson(row.p99)},
          {"p999_ms", ToJson(row.p999)},
          {"p99_to_oracle", ToJson(row.p99_to_oracle)},
          {"p999_to_oracle", ToJson(row.p999_to_oracle)},
          {"extra_work", row.extra_work},
          {"failed", row.failed}};
}

}  // namespace

Comparison::Comparison(std::vector<Row> rows, std::uint64_t seed, std::uint32_t repeats)
    : rows_(std::move(rows)), seed_(seed), repeats_(repeats) {}

void Comparison::PrintTable() const {
  std::printf("choice of upstream: seed=%llu repeats=%u cores=%u\n",
              static_cast<unsigned long long>(seed_), repeats_,  // NOLINT(google-runtime-int)
              std::thread::hardware_concurrency());
  std::string scenario;
  for (const Row& row : rows_) {
    if (row.scenario != scenario) {
      scenario = row.scenario;
      std::printf("%s\n  %-22s %8s %8s %8s %22s %22s %6s %7s\n", scenario.c_str(), "policy",
                  "p50 ms", "p99 ms", "p99.9 ms", "p99/oracle", "p99.9/oracle", "extra", "failed");
    }
    std::printf(
        "  %-22s %8.1f %8.1f %8.1f %7.2f (%5.2f to %5.2f) %7.2f (%5.2f to %5.2f) %6.3f %7llu\n",
        row.variant.c_str(), row.p50.median, row.p99.median, row.p999.median,
        row.p99_to_oracle.median, row.p99_to_oracle.low, row.p99_to_oracle.high,
        row.p999_to_oracle.median, row.p999_to_oracle.low, row.p999_to_oracle.high, row.extra_work,
        static_cast<unsigned long long>(row.failed));  // NOLINT(google-runtime-int)
  }
}

bool Comparison::WriteFiles(const std::string& folder) const {
  nlohmann::json document = {{"bench", "choice"},
                             {"version", "0.1.0"},
                             {"seed", seed_},
                             {"repeats", repeats_},
                             {"cores", std::thread::hardware_concurrency()}};
  std::ofstream data(folder + "/choice.dat");
  data << "# scenario policy p99_ms p999_ms\n";
  for (const Row& row : rows_) {
    document["rows"].push_back(ToJson(row));
    data << row.scenario << ' ' << row.variant << ' ' << row.p99.median << ' ' << row.p999.median
         << '\n';
  }
  std::ofstream json(folder + "/choice.json");
  json << document.dump(1) << '\n';
  return data.good() && json.good();
}

Comparison Compare(const std::vector<Scenario>& scenarios, std::uint64_t seed,
                   std::uint32_t repeats) {
  std::vector<Row> rows;
  for (const Scenario& scenario : scenarios) {
    const std::vector<Row> added = CompareIn(scenario, seed, repeats);
    rows.insert(rows.end(), added.begin(), added.end());
  }
  return Comparison(std::move(rows), seed, repeats);
}

}  // namespace primroseweir::bench
