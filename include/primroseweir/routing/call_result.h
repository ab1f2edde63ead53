#ifndef PRIMROSEWEIR_ROUTING_CALL_RESULT_H_
#define PRIMROSEWEIR_ROUTING_CALL_RESULT_H_

#include <optional>

#include "primroseweir/base/time.h"
#include "primroseweir/upstream/observation.h"

namespace primroseweir {

// How an attempt at one upstream ended.
enum class AttemptOutcome {
  // A whole answer arrived.
  kAnswered,
  // The upstream refused explicitly; the call was not run.
  kRefused,
  // No connection could be opened; the call was not run.
  kConnectFailed,
  // The connection was reset or closed before the answer was whole.
  kConnectionLost,
  // The deadline passed or the connection went silent.
  kTimedOut,
  // The caller went away, or another attempt of the same call answered first.
  kCancelled,
};

// Result of an attempt, for the upstream's observations.
struct CallResult {
  AttemptOutcome end = AttemptOutcome::kAnswered;
  // Time from the first byte sent to the answer's head.
  Duration time_to_head{};
  // The load that the answer reported.
  std::optional<LoadReport> report;
  // The upstream said that it is leaving.
  bool leaving = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_CALL_RESULT_H_
