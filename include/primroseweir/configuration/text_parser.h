#ifndef PRIMROSEWEIR_CONFIGURATION_TEXT_PARSER_H_
#define PRIMROSEWEIR_CONFIGURATION_TEXT_PARSER_H_

#include <string>
#include <vector>

#include "primroseweir/configuration/service.h"
#include "primroseweir/configuration/validated.h"

namespace primroseweir {

// Parses the operators' `text` value, which declares the services and their dependencies. The
// result depends on the text alone, so that all instances agree. Linear in the size of the text
// plus the number of dependencies.
Validated<std::vector<Service>> ParseText(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_TEXT_PARSER_H_
