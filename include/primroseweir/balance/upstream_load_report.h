#ifndef PRIMROSEWEIR_BALANCE_UPSTREAM_LOAD_REPORT_H_
#define PRIMROSEWEIR_BALANCE_UPSTREAM_LOAD_REPORT_H_

#include <cstdint>

namespace primroseweir {

// Load report that an upstream sends with its responses.
struct UpstreamLoadReport {
  // Calls that the upstream executes and calls queued there, from all instances.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  // Current execution time relative to the usual one. Other tenants of the upstream's machine slow
  // it down, and their load changes within fractions of a second.
  double slowdown = 1;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_UPSTREAM_LOAD_REPORT_H_
