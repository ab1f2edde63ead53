#ifndef PRIMROSEWEIR_CONFIGURATION_DECLARATIONS_PARSER_H_
#define PRIMROSEWEIR_CONFIGURATION_DECLARATIONS_PARSER_H_

#include <set>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/validated.h"

namespace primroseweir {

// Parses a `declarations` value: the data centres that are out of service. A data centre may be
// named more than once, and need not have any upstream. Linear in the size of the text.
Validated<std::set<DataCentre>> ParseDeclarations(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_DECLARATIONS_PARSER_H_
