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

// Quantile of the latencies after which HedgePolicy permits a hedge.
constexpr double kHedgeQuantile = 0.9;

std::vector<Variant> AllVariants() {
  std::vector<Variant> variants = {{kOracle, kOracle, 0}};
  const std::string default_policy = LoadBalancingPolicyNames().front();
  variants.push_back({default_policy + "+hedge", default_policy, kHedgeQuantile});
  for (const std::string& name : LoadBalancingPolicyNames()) variants.push_back({name, name, 0});
  variants.push_back({"two-random+hedge", "two-random", kHedgeQuantile});
  return variants;
}

RepeatSummary Summarize(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {values.front(), values[values.size() / 2], values.back()};
}

template <typename Member>
std::vector<double> CollectValues(const std::vector<RunResult>& runs, Member member) {
  std::vector<double> values;
  for (const RunResult& run : runs) values.push_back(run.*member);
  return values;
}

template <typename Member>
RepeatSummary SummarizeRatios(const std::vector<RunResult>& runs,
                              const std::vector<RunResult>& oracle, Member member) {
  std::vector<double> ratios;
  for (std::size_t i = 0; i < runs.size(); ++i) {
    ratios.push_back(runs[i].*member / (oracle[i].*member));
  }
  return Summarize(ratios);
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
  row.p50_ms = Summarize(CollectValues(runs, &RunResult::p50_ms));
  row.p99_ms = Summarize(CollectValues(runs, &RunResult::p99_ms));
  row.p999_ms = Summarize(CollectValues(runs, &RunResult::p999_ms));
  row.p99_oracle_ratio = SummarizeRatios(runs, oracle, &RunResult::p99_ms);
  row.p999_oracle_ratio = SummarizeRatios(runs, oracle, &RunResult::p999_ms);
  row.extra_work = Summarize(CollectValues(runs, &RunResult::extra_work)).median;
  for (const RunResult& run : runs) row.failed_calls += run.failed_calls;
  return row;
}

std::vector<Row> CompareVariants(const Scenario& scenario, std::uint64_t seed,
                                 std::uint32_t repeats) {
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

nlohmann::json ToJson(const RepeatSummary& summary) {
  return {{"low", summary.low}, {"median", summary.median}, {"high", summary.high}};
}

nlohmann::json ToJson(const Row& row) {
  return {{"scenario", row.scenario},
          {"policy", row.variant},
          {"p50_ms", ToJson(row.p50_ms)},
          {"p99_ms", ToJson(row.p99_ms)},
          {"p999_ms", ToJson(row.p999_ms)},
          {"p99_to_oracle", ToJson(row.p99_oracle_ratio)},
          {"p999_to_oracle", ToJson(row.p999_oracle_ratio)},
          {"extra_work", row.extra_work},
          {"failed", row.failed_calls}};
}

}  // namespace

Comparison::Comparison(std::vector<Row> rows, std::uint64_t seed, std::uint32_t repeats)
    : rows_(std::move(rows)), seed_(seed), repeats_(repeats) {}

void Comparison::PrintTable() const {
  std::printf("load balancing policies: seed=%llu repeats=%u cores=%u\n",
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
        row.variant.c_str(), row.p50_ms.median, row.p99_ms.median, row.p999_ms.median,
        row.p99_oracle_ratio.median, row.p99_oracle_ratio.low, row.p99_oracle_ratio.high,
        row.p999_oracle_ratio.median, row.p999_oracle_ratio.low, row.p999_oracle_ratio.high,
        row.extra_work,
        static_cast<unsigned long long>(row.failed_calls));  // NOLINT(google-runtime-int)
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
    data << row.scenario << ' ' << row.variant << ' ' << row.p99_ms.median << ' '
         << row.p999_ms.median << '\n';
  }
  std::ofstream json(folder + "/choice.json");
  json << document.dump(1) << '\n';
  return data.good() && json.good();
}

Comparison Compare(const std::vector<Scenario>& scenarios, std::uint64_t seed,
                   std::uint32_t repeats) {
  std::vector<Row> rows;
  for (const Scenario& scenario : scenarios) {
    const std::vector<Row> scenario_rows = CompareVariants(scenario, seed, repeats);
    rows.insert(rows.end(), scenario_rows.begin(), scenario_rows.end());
  }
  return Comparison(std::move(rows), seed, repeats);
}

}  // namespace primroseweir::bench
