#ifndef STANDINS_UPSTREAM_SETTINGS_H_
#define STANDINS_UPSTREAM_SETTINGS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

#include "primroseweir/base/socket_address.h"

namespace primroseweir::standins {

// What a stand-in upstream is; fixed while it runs.
struct UpstreamSettings {
  std::string id;
  SocketAddress address;
  // Port of the test-only interface.
  SocketAddress control_address;
  std::uint32_t slots = 6;
  // Calls that wait for a slot; more are refused.
  std::uint32_t queue = 64;
  // More connections are closed at once.
  std::uint32_t connections = 260;
  // Mean time of a call.
  double service_ms = 2.0;
  // "exponential" or "fixed".
  std::string distribution = "exponential";
  std::uint64_t seed = 1;
  double probe_cost_ms = 6.0;
  // Starts cold: bears one call at a time, twice as many after each `cold_calls_per_doubling`.
  bool cold = true;
  std::uint32_t cold_calls_per_doubling = 1;
};

// Reads JSON; absent fields keep their defaults. InvalidArgument names the field.
absl::StatusOr<UpstreamSettings> ParseUpstreamSettings(const std::string& text);

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_SETTINGS_H_
