#ifndef PRIMROSEWEIR_CONFIGURATION_DECLARATIONS_PARSER_H_
#define PRIMROSEWEIR_CONFIGURATION_DECLARATIONS_PARSER_H_

#include <set>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/validated.h"

namespace primroseweir {

// Reads `declarations`: the data centres out of service. A data centre that is named twice is out
// once; one that lists no upstream is accepted. Linear in the size of the text.
Validated<std::set<DataCentre>> ParseDeclarations(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_DECLARATIONS_PARSER_H_
