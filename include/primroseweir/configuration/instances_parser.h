#ifndef PRIMROSEWEIR_CONFIGURATION_INSTANCES_PARSER_H_
#define PRIMROSEWEIR_CONFIGURATION_INSTANCES_PARSER_H_

#include <string>

#include "primroseweir/configuration/instance_list.h"
#include "primroseweir/configuration/validated.h"

namespace primroseweir {

// Parses an `instances` value. Ignores unknown fields: the platform writes the list, and a field
// that it adds must not block updates. Linear in the size of the text.
Validated<InstanceList> ParseInstances(const std::string& text);

// Parses an `instances/DC` value, which lists upstreams of `data_centre` only and cannot be divided
// further.
Validated<InstanceList> ParseInstancesPart(const std::string& text, const DataCentre& data_centre);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_INSTANCES_PARSER_H_
