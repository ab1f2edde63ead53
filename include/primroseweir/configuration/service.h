#ifndef PRIMROSEWEIR_CONFIGURATION_SERVICE_H_
#define PRIMROSEWEIR_CONFIGURATION_SERVICE_H_

#include <vector>

#include "primroseweir/base/ids.h"

namespace primroseweir {

// Class of a service's calls other than GET and HEAD, as declared by the operators: idempotent
// calls may be executed more than once; uploads have large bodies.
enum class ServiceCalls { kIdempotent, kNonIdempotent, kUploads };

// Returns the value of `calls` in the operators' text.
inline const char* NameOf(ServiceCalls calls) {
  switch (calls) {
    case ServiceCalls::kIdempotent:
      return "repeatable";
    case ServiceCalls::kNonIdempotent:
      return "not-repeatable";
    case ServiceCalls::kUploads:
      return "uploads";
  }
  return "unknown";
}

// One service declared in the operators' text.
struct Service {
  ServiceName name;
  std::vector<ServiceName> depends_on;
  ServiceCalls calls = ServiceCalls::kIdempotent;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_SERVICE_H_
