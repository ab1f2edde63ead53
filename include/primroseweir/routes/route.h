#ifndef PRIMROSEWEIR_ROUTES_ROUTE_H_
#define PRIMROSEWEIR_ROUTES_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// What may be repeated, and what is large: the answers of kDownload calls, the bodies of kUpload
// calls.
enum class CallKind { kIdempotent, kNonIdempotent, kDownload, kUpload };

// Whether calls of that kind move many bytes, which are expensive between data centres.
constexpr bool IsLargeTransfer(CallKind kind) {
  return kind == CallKind::kDownload || kind == CallKind::kUpload;
}

// Whether a call of that kind may run more than once.
constexpr bool IsIdempotent(CallKind kind) {
  return kind == CallKind::kIdempotent || kind == CallKind::kDownload;
}

// One service of a route and its share of the calls.
struct RouteTarget {
  ServiceName service;
  std::uint32_t weight = 1;
};

// Where calls to a host and path prefix go, and how they are treated.
struct Route {
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  // One service, or several that share the calls by weight.
  std::vector<RouteTarget> targets;
  CallKind kind = CallKind::kIdempotent;
  // Longest time that a call may be kept waiting for its final answer.
  Duration timeout{};
  // Time within which an answer is fully useful to the caller.
  Duration objective{};
  // Upstreams to which one call may be sent.
  std::uint32_t max_attempts = 1;
  // Rank when room is short; 0 is served first.
  std::uint32_t priority = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTES_ROUTE_H_
