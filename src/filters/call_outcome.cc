#include "primroseweir/filters/call_outcome.h"

namespace primroseweir {
namespace {

CallOutcome Make(ExecutionOutcome outcome, const std::string& step, const std::string& reason,
                 int http_status) {
  CallOutcome call_outcome;
  call_outcome.outcome = outcome;
  call_outcome.http_status = http_status;
  call_outcome.step = step;
  call_outcome.reason = reason;
  return call_outcome;
}

}  // namespace

CallOutcome CallOutcome::NotExecuted(const std::string& step, const std::string& reason,
                                     int http_status) {
  return Make(ExecutionOutcome::kNotExecuted, step, reason, http_status);
}

CallOutcome CallOutcome::Unknown(const std::string& step, const std::string& reason,
                                 int http_status) {
  return Make(ExecutionOutcome::kUnknown, step, reason, http_status);
}

}  // namespace primroseweir
