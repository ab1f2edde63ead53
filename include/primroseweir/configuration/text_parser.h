#ifndef PRIMROSEWEIR_CONFIGURATION_TEXT_PARSER_H_
#define PRIMROSEWEIR_CONFIGURATION_TEXT_PARSER_H_

#include <string>

#include "primroseweir/configuration/operators_text.h"
#include "primroseweir/configuration/validated.h"

namespace primroseweir {

// Parses the operators' `text` value, which declares the services, their dependencies and the
// customers. The result depends on the text alone, so that all instances agree. Linear in the size
// of the text plus the number of dependencies.
Validated<OperatorsText> ParseText(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_TEXT_PARSER_H_
