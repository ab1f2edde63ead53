#include "primroseweir/keys/outcome.h"

namespace primroseweir {

const char* NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kExecuted:
      return "ran";
    case Outcome::kNotExecuted:
      return "not-run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace primroseweir
