#include "primroseweir/keys/execution_outcome.h"

namespace primroseweir {

const char* NameOf(ExecutionOutcome outcome) {
  switch (outcome) {
    case ExecutionOutcome::kExecuted:
      return "ran";
    case ExecutionOutcome::kNotExecuted:
      return "not-run";
    case ExecutionOutcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace primroseweir
