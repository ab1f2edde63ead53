#ifndef PRIMROSEWEIR_ROUTING_CALL_RESULT_H_
#define PRIMROSEWEIR_ROUTING_CALL_RESULT_H_

#include <optional>

#include "primroseweir/base/time.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// How an attempt at one upstream ended.
enum class AttemptEnd {
  // A complete response arrived.
  kResponded,
  // The upstream refused explicitly; the call was not executed.
  kRefused,
  // No connection could be opened; the call was not executed.
  kConnectFailed,
  // The connection was reset or closed before the response was complete.
  kConnectionLost,
  // The deadline passed, or the connection became unresponsive.
  kTimedOut,
  // The caller disconnected, or another attempt of the same call responded first.
  kCancelled,
};

// Result of an attempt; updates the observations of the upstream.
struct CallResult {
  AttemptEnd outcome = AttemptEnd::kResponded;
  // Time from the first byte sent to the response head.
  Duration time_to_head{};
  // Load report that the response carried.
  std::optional<LoadReport> report;
  // Whether the upstream reported that it is leaving.
  bool leaving = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_CALL_RESULT_H_
