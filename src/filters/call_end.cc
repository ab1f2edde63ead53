#include "primroseweir/filters/call_end.h"

namespace primroseweir {
namespace {

CallEnd Make(Outcome outcome, const std::string& step, const std::string& reason, int http_status) {
  CallEnd end;
  end.outcome = outcome;
  end.http_status = http_status;
  end.step = step;
  end.reason = reason;
  return end;
}

}  // namespace

CallEnd CallEnd::NotRun(const std::string& step, const std::string& reason, int http_status) {
  return Make(Outcome::kNotRun, step, reason, http_status);
}

CallEnd CallEnd::Unknown(const std::string& step, const std::string& reason, int http_status) {
  return Make(Outcome::kUnknown, step, reason, http_status);
}

}  // namespace primroseweir
