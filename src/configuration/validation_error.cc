#include "primroseweir/configuration/validation_error.h"

#include "primroseweir/configuration/key_value_line.h"

namespace primroseweir {

std::string FormatValidationError(const ValidationError& verdict) {
  return FormatKeyValueLine({{"line", std::to_string(verdict.line)},
                             {"field", verdict.field},
                             {"problem", verdict.problem},
                             {"expected", verdict.expected}});
}

}  // namespace primroseweir
