#include "primroseweir/filters/call_outcome.h"

namespace primroseweir {
namespace {

CallOutcome Make(Outcome outcome, const std::string& step, const std::string& reason,
                 int http_status) {
  CallOutcome end;
  end.outcome = outcome;
  end.http_status = http_status;
  end.step = step;
  end.reason = reason;
  return end;
}

}  // namespace

CallOutcome CallOutcome::NotExecuted(const std::string& step, const std::string& reason,
                                     int http_status) {
  return Make(Outcome::kNotExecuted, step, reason, http_status);
}

CallOutcome CallOutcome::Unknown(const std::string& step, const std::string& reason,
                                 int http_status) {
  return Make(Outcome::kUnknown, step, reason, http_status);
}

}  // namespace primroseweir
