#ifndef PRIMROSEWEIR_CONFIGURATION_VALIDATED_H_
#define PRIMROSEWEIR_CONFIGURATION_VALIDATED_H_

#include <vector>

#include "primroseweir/configuration/validation_error.h"

namespace primroseweir {

// Result of a check: the value when there are no verdicts, else the verdicts by position.
template <typename T>
struct Validated {
  T value;
  std::vector<ValidationError> errors;

  bool ok() const { return errors.empty(); }
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_VALIDATED_H_
