#ifndef PRIMROSEWEIR_FILTERS_CALL_OUTCOME_H_
#define PRIMROSEWEIR_FILTERS_CALL_OUTCOME_H_

#include <string>

#include "primroseweir/keys/outcome.h"

namespace primroseweir {

// How a call ended in the filter chain.
struct CallOutcome {
  Outcome outcome = Outcome::kExecuted;
  // Status of the answer, passed or made by the system.
  int http_status = 200;
  // An answer has been begun (and ended or cut). Otherwise the chain makes one from the fields
  // below.
  bool answered = false;
  // Step that decided, peer concerned ("" for none) and reason, for the body of a system answer.
  std::string step;
  std::string peer;
  std::string reason;
  // Value of Retry-After in seconds; 0 for none.
  int retry_after = 0;

  // 503, or another status, with outcome not-run.
  static CallOutcome NotExecuted(const std::string& step, const std::string& reason,
                                 int http_status = 503);
  // 502, or another status, with outcome unknown.
  static CallOutcome Unknown(const std::string& step, const std::string& reason,
                             int http_status = 502);
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CALL_OUTCOME_H_
