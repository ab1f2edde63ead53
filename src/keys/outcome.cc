#include "primroseweir/keys/outcome.h"

namespace primroseweir {

const char* NameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kRan:
      return "ran";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace primroseweir
