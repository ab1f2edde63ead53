#include "primroseweir/configuration/validation_error.h"

#include "primroseweir/configuration/key_value_line.h"

namespace primroseweir {

std::string FormatValidationError(const ValidationError& error) {
  return FormatKeyValueLine({{"line", std::to_string(error.line)},
                             {"field", error.field},
                             {"problem", error.problem},
                             {"expected", error.expected}});
}

}  // namespace primroseweir
