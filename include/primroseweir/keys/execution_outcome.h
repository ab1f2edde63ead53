#ifndef PRIMROSEWEIR_KEYS_EXECUTION_OUTCOME_H_
#define PRIMROSEWEIR_KEYS_EXECUTION_OUTCOME_H_

namespace primroseweir {

// Whether a call was executed, as far as the load balancer knows.
enum class ExecutionOutcome {
  // An upstream executed the call and responded.
  kExecuted,
  // No byte of the call reached an upstream, or each upstream that received it refused it
  // explicitly.
  kNotExecuted,
  // The call may or may not have been executed.
  kUnknown
};

// Returns "ran", "not-run" or "unknown", the value of the header field Primroseweir-Outcome.
const char* NameOf(ExecutionOutcome outcome);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_KEYS_EXECUTION_OUTCOME_H_
