#ifndef BENCH_CHOICE_COMPARISON_H_
#define BENCH_CHOICE_COMPARISON_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bench/choice/experiment.h"
#include "bench/choice/scenario.h"

namespace primroseweir::bench {

// One policy, with or without hedges.
struct Variant {
  std::string name;
  std::string policy;
  double hedge_quantile = 0;
};

// Lowest, middle and highest value of the repeats.
struct Spread {
  double low = 0;
  double median = 0;
  double high = 0;
};

// Results of one variant in one scenario, and their ratios to the oracle's under the same seeds.
struct Row {
  std::string scenario;
  std::string variant;
  Spread p50;
  Spread p99;
  Spread p999;
  Spread p99_to_oracle;
  Spread p999_to_oracle;
  double extra_work = 0;
  std::uint64_t failed = 0;
};

class Comparison {
 public:
  Comparison(std::vector<Row> rows, std::uint64_t seed, std::uint32_t repeats);

  void PrintTable() const;

  // Writes choice.json and choice.dat; false when a file can't be written.
  bool WriteFiles(const std::string& folder) const;

 private:
  std::vector<Row> rows_;
  std::uint64_t seed_;
  std::uint32_t repeats_;
};

// Runs every variant in every scenario. The variants of one scenario and seed run side by side and
// see the same arrivals.
Comparison Compare(const std::vector<Scenario>& scenarios, std::uint64_t seed,
                   std::uint32_t repeats);

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_COMPARISON_H_
