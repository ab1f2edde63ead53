#ifndef STANDINS_CALLER_CALL_REPORT_H_
#define STANDINS_CALLER_CALL_REPORT_H_

#include <cstdint>
#include <string>

#include "primroseweir/base/time.h"

namespace primroseweir::standins {

// How a call ended for the caller, after its retries.
enum class CallOutcome {
  // A whole and right answer.
  kCorrect,
  // The call did not run.
  kNotExecuted,
  // The caller doesn't know whether the call ran.
  kUnknown,
  // An answer that broke off.
  kTruncated,
  // An answer that belongs to another request, or whose contents are wrong.
  kIncorrect,
  // No address answered.
  kUnreachable,
};

// "right", "not_executed" and so on.
std::string NameOf(CallOutcome end);

struct CallReport {
  CallOutcome end = CallOutcome::kUnreachable;
  // Of the last answer; 0 when none arrived.
  int status = 0;
  int attempts = 0;
  Duration latency{};
  std::uint64_t body_bytes = 0;
  // The last system answer or error, for the log.
  std::string detail;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_CALLER_CALL_REPORT_H_
