#ifndef BENCH_CHOICE_COMPARISON_H_
#define BENCH_CHOICE_COMPARISON_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bench/choice/experiment.h"
#include "bench/choice/scenario.h"

namespace primroseweir::bench {

// A load balancing policy, with or without hedging.
struct Variant {
  std::string name;
  std::string policy;
  double hedge_quantile = 0;
};

// Lowest, median and highest value over the repeated runs.
struct RepeatSummary {
  double low = 0;
  double median = 0;
  double high = 0;
};

// Results of one variant in one scenario, and their ratios to the results of the oracle under the
// same seeds.
struct Row {
  std::string scenario;
  std::string variant;
  RepeatSummary p50_ms;
  RepeatSummary p99_ms;
  RepeatSummary p999_ms;
  RepeatSummary p99_oracle_ratio;
  RepeatSummary p999_oracle_ratio;
  double extra_work = 0;
  std::uint64_t failed_calls = 0;
};

class Comparison {
 public:
  Comparison(std::vector<Row> rows, std::uint64_t seed, std::uint32_t repeats);

  void PrintTable() const;

  // Writes choice.json and choice.dat into `folder`. Returns false when a file can't be written.
  bool WriteFiles(const std::string& folder) const;

 private:
  std::vector<Row> rows_;
  std::uint64_t seed_;
  std::uint32_t repeats_;
};

// Runs every variant in every scenario, `repeats` times with consecutive seeds. The variants of one
// scenario run in parallel threads and get the same arrivals under the same seed.
Comparison Compare(const std::vector<Scenario>& scenarios, std::uint64_t seed,
                   std::uint32_t repeats);

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_COMPARISON_H_
