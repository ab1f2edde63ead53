#ifndef PRIMROSEWEIR_FILTERS_CALL_OUTCOME_H_
#define PRIMROSEWEIR_FILTERS_CALL_OUTCOME_H_

#include <string>

#include "primroseweir/keys/execution_outcome.h"

namespace primroseweir {

// How a call ended in the filter chain.
struct CallOutcome {
  ExecutionOutcome outcome = ExecutionOutcome::kExecuted;
  // HTTP status of the response, whether forwarded from an upstream or a local reply.
  int http_status = 200;
  // Whether a response was begun and then completed or aborted. If false, the filter chain sends a
  // local reply built from the fields below.
  bool has_response_begun = false;
  // Step that determined the outcome, peer concerned ("" for none) and reason, for the body of the
  // local reply.
  std::string step;
  std::string peer;
  std::string reason;
  // Value of Retry-After in seconds; 0 to omit the header.
  int retry_after = 0;
  // Authentication scheme that the caller must use, for WWW-Authenticate; empty to omit the header.
  std::string key_scheme;

  // Returns an outcome of kNotExecuted, with `http_status` for the local reply.
  static CallOutcome NotExecuted(const std::string& step, const std::string& reason,
                                 int http_status = 503);
  // Returns an outcome of kUnknown, with `http_status` for the local reply.
  static CallOutcome Unknown(const std::string& step, const std::string& reason,
                             int http_status = 502);
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CALL_OUTCOME_H_
