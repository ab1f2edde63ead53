#ifndef PRIMROSEWEIR_CONFIGURATION_INSTANCES_PARSER_H_
#define PRIMROSEWEIR_CONFIGURATION_INSTANCES_PARSER_H_

#include <string>

#include "primroseweir/configuration/instance_list.h"
#include "primroseweir/configuration/validated.h"

namespace primroseweir {

// Reads `instances`. Fields of an upstream that are not known are passed over: the platform writes
// the list, and a new field there must not freeze it. Linear in the size of the text.
Validated<InstanceList> ParseInstances(const std::string& text);

// Reads `instances/DC`: upstreams of that data centre only, and no parts.
Validated<InstanceList> ParseInstancesPart(const std::string& text, const DataCentre& data_centre);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_INSTANCES_PARSER_H_
