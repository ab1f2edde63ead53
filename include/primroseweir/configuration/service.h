#ifndef PRIMROSEWEIR_CONFIGURATION_SERVICE_H_
#define PRIMROSEWEIR_CONFIGURATION_SERVICE_H_

#include <vector>

#include "primroseweir/base/ids.h"

namespace primroseweir {

// One service of the operators' text.
struct Service {
  ServiceName name;
  std::vector<ServiceName> depends_on;
  // False when a call other than GET and HEAD must run at most once.
  bool repeatable = true;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_SERVICE_H_
