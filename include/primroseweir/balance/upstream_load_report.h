#ifndef PRIMROSEWEIR_BALANCE_UPSTREAM_LOAD_REPORT_H_
#define PRIMROSEWEIR_BALANCE_UPSTREAM_LOAD_REPORT_H_

#include <cstdint>

namespace primroseweir {

// Load that an upstream states with its answers.
struct UpstreamLoadReport {
  // Calls that it executes and calls that wait there, from all instances.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  // How long work takes there at that moment, relative to usual: other tenants of the upstream's
  // machine slow it down and change within fractions of a second.
  double slowdown = 1;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_UPSTREAM_LOAD_REPORT_H_
