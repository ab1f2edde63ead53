#ifndef STANDINS_UPSTREAM_SETTINGS_H_
#define STANDINS_UPSTREAM_SETTINGS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

#include "primroseweir/base/socket_address.h"

namespace primroseweir::standins {

// Settings of a stand-in upstream, which do not change while it runs.
struct UpstreamSettings {
  std::string id;
  SocketAddress address;
  // Address of the control port, which only tests use.
  SocketAddress control_address;
  // Calls that are executed at a time.
  std::uint32_t slots = 6;
  // Maximum calls that wait for a slot; further calls are refused.
  std::uint32_t queue = 64;
  // Maximum open connections; further ones are closed at once.
  std::uint32_t connections = 260;
  // Mean service time of a call, in milliseconds.
  double service_ms = 2.0;
  // Distribution of the service times: "exponential" or "fixed".
  std::string distribution = "exponential";
  std::uint64_t seed = 1;
  double probe_cost_ms = 6.0;
  // Whether the upstream starts cold: it then handles one call at a time, and twice as many after
  // each `cold_calls_per_doubling` completed calls.
  bool cold = true;
  std::uint32_t cold_calls_per_doubling = 1;
};

// Parses settings from JSON text; absent fields keep their defaults. Errors: InvalidArgument; the
// message names the field that is wrong.
absl::StatusOr<UpstreamSettings> ParseUpstreamSettings(const std::string& text);

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_SETTINGS_H_
