#ifndef PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_REJECTION_H_
#define PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_REJECTION_H_

#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/validation_error.h"

namespace primroseweir {

// A value of the configuration service that failed validation, with the errors found.
struct ConfigurationRejection {
  std::string key;
  Revision revision;
  std::vector<ValidationError> errors;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_CONFIGURATION_REJECTION_H_
