#ifndef PRIMROSEWEIR_KEYS_OUTCOME_H_
#define PRIMROSEWEIR_KEYS_OUTCOME_H_

namespace primroseweir {

// What the system knows about a call's execution.
enum class Outcome {
  // An upstream executed it and answered.
  kExecuted,
  // No byte reached an upstream, or every upstream that received it refused it explicitly.
  kNotExecuted,
  // Neither of the two is certain.
  kUnknown
};

// "ran", "not-run" or "unknown", as in the field Primroseweir-Outcome.
const char* NameOf(Outcome outcome);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_KEYS_OUTCOME_H_
