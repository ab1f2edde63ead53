#ifndef PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_VALUES_H_
#define PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_VALUES_H_

#include <map>
#include <string>

#include "primroseweir/base/ids.h"

namespace primroseweir {

// One value of the configuration service as it was read, not yet validated.
struct ConfigurationValue {
  Revision revision;
  std::string text;
};

// Values by key ("text", "declarations", "instances", "instances/DC"), as read from the platform
// and exchanged between instances.
using ConfigurationValues = std::map<std::string, ConfigurationValue>;

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_VALUES_H_
