#ifndef PRIMROSEWEIR_CONFIGURATION_VALIDATION_ERROR_H_
#define PRIMROSEWEIR_CONFIGURATION_VALIDATION_ERROR_H_

#include <cstddef>
#include <string>

namespace primroseweir {

// One reason for which a value of the configuration service is rejected.
struct ValidationError {
  // Line number within the value, from 1.
  std::size_t line = 1;
  // Path of the field, such as "services[3].depends_on[0]"; empty for the value as a whole.
  std::string field;
  std::string problem;
  std::string expected;
};

// Formats as `line=N field=PATH problem="..." expected="..."`.
std::string FormatValidationError(const ValidationError& validation_error);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_VALIDATION_ERROR_H_
