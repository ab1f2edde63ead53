#ifndef PRIMROSEWEIR_ROUTES_ROUTE_H_
#define PRIMROSEWEIR_ROUTES_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Determines whether a call may be executed more than once, and whether it is a large transfer: the
// responses of kDownload calls and the request bodies of kUpload calls are large.
enum class CallKind { kIdempotent, kNonIdempotent, kDownload, kUpload };

// Returns whether calls of that kind transfer many bytes, which is expensive between data centres.
constexpr bool IsLargeTransfer(CallKind kind) {
  return kind == CallKind::kDownload || kind == CallKind::kUpload;
}

// Returns whether a call of that kind may be executed more than once.
constexpr bool IsIdempotent(CallKind kind) {
  return kind == CallKind::kIdempotent || kind == CallKind::kDownload;
}

// One service of a route and its weight in the division of the calls.
struct RouteTarget {
  ServiceName service;
  std::uint32_t weight = 1;
};

// Target services and settings of the calls to one host and path prefix.
struct Route {
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  // One service, or several among which the calls are divided by weight.
  std::vector<RouteTarget> targets;
  CallKind kind = CallKind::kIdempotent;
  // Maximum time from the arrival of a call to its final response.
  Duration timeout{};
  // Latency objective: a response within this time is fully useful to the caller.
  Duration latency_objective{};
  // Maximum number of upstreams to which one call may be sent.
  std::uint32_t max_attempts = 1;
  // Priority in the admission queue; 0 is served first.
  std::uint32_t priority = 0;
  // Whether a call needs no customer's key. Matters only in a configuration with customers.
  bool is_public = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTES_ROUTE_H_
