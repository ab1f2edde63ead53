#include "primroseweir/configuration/validation_error.h"

#include "primroseweir/configuration/key_value_line.h"

namespace primroseweir {

std::string FormatValidationError(const ValidationError& validation_error) {
  return FormatKeyValueLine({{"line", std::to_string(validation_error.line)},
                             {"field", validation_error.field},
                             {"problem", validation_error.problem},
                             {"expected", validation_error.expected}});
}

}  // namespace primroseweir
