#ifndef STANDINS_CALLER_CALL_REPORT_H_
#define STANDINS_CALLER_CALL_REPORT_H_

#include <cstdint>
#include <string>

#include "primroseweir/base/time.h"

namespace primroseweir::standins {

// Outcome of a call as the caller sees it, after all attempts.
enum class Outcome {
  // A complete and correct response.
  kCorrect,
  // The call was not executed.
  kNotRun,
  // The caller can't tell whether the call was executed.
  kUnknown,
  // The response ended before it was complete.
  kTruncated,
  // The response belongs to another request, or its contents are wrong.
  kWrong,
  // No address accepted a connection, or none could be fetched.
  kUnreachable,
};

// Returns the name of an outcome in reports, such as "right" or "not_run".
std::string NameOf(Outcome outcome);

// Result of one call, over all its attempts.
struct CallReport {
  Outcome outcome = Outcome::kUnreachable;
  // HTTP status of the last attempt; 0 when it got no response.
  int status = 0;
  int attempts = 0;
  Duration latency{};
  std::uint64_t body_bytes = 0;
  // The latest response text or error, for the log.
  std::string detail;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_CALLER_CALL_REPORT_H_
