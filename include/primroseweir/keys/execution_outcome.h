#ifndef PRIMROSEWEIR_KEYS_EXECUTION_OUTCOME_H_
#define PRIMROSEWEIR_KEYS_EXECUTION_OUTCOME_H_

namespace primroseweir {

// What the system knows about a call's execution.
enum class ExecutionOutcome {
  // An upstream executed it and answered.
  kExecuted,
  // No byte reached an upstream, or every upstream that received it refused it explicitly.
  kNotExecuted,
  // Neither of the two is certain.
  kUnknown
};

// "ran", "not-run" or "unknown", as in the field Primroseweir-Outcome.
const char* NameOf(ExecutionOutcome outcome);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_KEYS_EXECUTION_OUTCOME_H_
