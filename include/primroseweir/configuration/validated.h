#ifndef PRIMROSEWEIR_CONFIGURATION_VALIDATED_H_
#define PRIMROSEWEIR_CONFIGURATION_VALIDATED_H_

#include <vector>

#include "primroseweir/configuration/validation_error.h"

namespace primroseweir {

// Result of a validation. `value` is valid when `errors` is empty; `errors` is sorted by position.
template <typename T>
struct Validated {
  T value;
  std::vector<ValidationError> errors;

  bool ok() const { return errors.empty(); }
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_VALIDATED_H_
