// Counts the probes that one of 34 seats may send within a minute. The probes of all seats together
// may take 1% of the upstream's slot time.
#include <chrono>
#include <iostream>

#include "primroseweir/limits/probe_budget.h"

int main() {
  constexpr std::uint64_t kSeats = 34;
  primroseweir::Instant now{std::chrono::hours(1)};
  primroseweir::ProbeBudget budget({6, std::chrono::milliseconds(6)}, kSeats, now);
  int probes = 0;
  for (int step = 0; step < 600; ++step) {
    now += std::chrono::milliseconds(100);
    if (budget.TryAcquire(now)) ++probes;
  }
  std::cout << "probes_a_minute=" << probes
            << " interval_ms=" << primroseweir::ToMilliseconds(budget.interval()) << "\n";
  return probes <= 600 / 34 + 1 ? 0 : 1;
}
