#ifndef PRIMROSEWEIR_TESTS_CUSTOMERS_QUOTA_CALLS_H_
#define PRIMROSEWEIR_TESTS_CUSTOMERS_QUOTA_CALLS_H_

#include <chrono>
#include <memory>
#include <numeric>
#include <vector>

#include "quota_fleet.h"

namespace primroseweir::testing {

inline constexpr double kRate = 20;
inline constexpr double kBurst = 20;

inline std::shared_ptr<const CustomerTable> OneCustomer(double rate = kRate,
                                                        double burst = kBurst) {
  return *CustomerTable::Create({MakeQuota("a", rate, burst)});
}

// Limit on the calls in 5 s that the operators accept.
inline double MostInWindow(double rate = kRate, double burst = kBurst) {
  return (rate * 5 + burst) * 1.25 + 20;
}

inline std::vector<std::size_t> Range(std::size_t first, std::size_t end) {
  std::vector<std::size_t> range(end - first);
  std::iota(range.begin(), range.end(), first);
  return range;
}

// Lets the instances `at` receive `per_second` calls in total, in random order. Returns how many
// were made.
inline std::size_t RunCalls(QuotaFleet* fleet, const std::vector<std::size_t>& at,
                            double per_second, Duration time, std::size_t customer = 0) {
  std::size_t made = 0;
  double due = 0;
  for (const auto end = fleet->now() + time; fleet->now() < end;) {
    fleet->Tick();
    due += per_second * std::chrono::duration<double>(QuotaFleet::kTick).count();
    while (due >= 1) {
      due -= 1;
      fleet->Ask(at[fleet->random().UniformBelow(at.size())], customer);
      ++made;
    }
  }
  return made;
}

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_CUSTOMERS_QUOTA_CALLS_H_
