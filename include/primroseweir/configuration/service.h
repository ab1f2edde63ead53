#ifndef PRIMROSEWEIR_CONFIGURATION_SERVICE_H_
#define PRIMROSEWEIR_CONFIGURATION_SERVICE_H_

#include <vector>

#include "primroseweir/base/ids.h"

namespace primroseweir {

// What the operators state of a service's calls other than GET and HEAD: whether they may run more
// than once, and whether their bodies are large.
enum class ServiceCalls { kIdempotent, kNonIdempotent, kUploads };

// The word of the operators' text.
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

// One service of the operators' text.
struct Service {
  ServiceName name;
  std::vector<ServiceName> depends_on;
  ServiceCalls calls = ServiceCalls::kIdempotent;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_SERVICE_H_
