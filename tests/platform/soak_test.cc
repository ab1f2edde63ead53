#include "soak.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

namespace primroseweir::testing {
namespace {

std::uint64_t NumberFrom(const char* variable, std::uint64_t fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

void RunSeed(std::uint64_t seed, Duration time, Soak::Faults faults = Soak::Faults::kAll) {
  Soak soak(seed, time, faults);
  const auto violations = soak.Run();
  INFO("seed " << seed << ", " << soak.calls() << " calls, " << soak.refused_by_quota()
               << " refused by a quota, faults:\n"
               << soak.fault_log());
  for (const auto& violation : violations) {
    UNSCOPED_INFO(violation);
  }
  CHECK(violations.empty());
  // Else the check of the quota shows nothing.
  CHECK(soak.refused_by_quota() > 0);
}

// Checks the guarantees to callers under random mixes of faults. PRIMROSEWEIR_SOAK_SEED sets the
// first seed, PRIMROSEWEIR_SOAK_SEEDS the number of seeds, and PRIMROSEWEIR_SOAK_MS the time of
// each in milliseconds.
TEST_CASE("a site under random faults keeps its guarantees to callers", "[soak]") {
  const auto first = NumberFrom("PRIMROSEWEIR_SOAK_SEED", 1);
  const auto seeds = NumberFrom("PRIMROSEWEIR_SOAK_SEEDS", 2);
  const auto time = std::chrono::milliseconds(NumberFrom("PRIMROSEWEIR_SOAK_MS", 6000));
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    RunSeed(seed, time);
  }
}

// Seeds that once failed: 211 and 3110 with a lost response of the store, 3112 with a snapshot of a
// peer that had started after an operator put a data centre back in service.
TEST_CASE("the guarantees hold for seeds that failed before", "[soak]") {
  for (const std::uint64_t seed : {211, 3110, 3112}) {
    RunSeed(seed, std::chrono::milliseconds(6000), Soak::Faults::kWithoutStatements);
  }
}

}  // namespace
}  // namespace primroseweir::testing
