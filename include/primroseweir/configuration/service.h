#ifndef PRIMROSEWEIR_CONFIGURATION_SERVICE_H_
#define PRIMROSEWEIR_CONFIGURATION_SERVICE_H_

#include <vector>

#include "primroseweir/base/ids.h"

namespace primroseweir {

// Class of a service's calls other than GET and HEAD, as declared by the operators: idempotent
// calls may be executed more than once; uploads have large bodies.
enum class ServiceCallKind { kIdempotent, kNonIdempotent, kUploads };

// Returns the value of `calls` in the operators' text.
inline const char* NameOf(ServiceCallKind call_kind) {
  switch (call_kind) {
    case ServiceCallKind::kIdempotent:
      return "repeatable";
    case ServiceCallKind::kNonIdempotent:
      return "not-repeatable";
    case ServiceCallKind::kUploads:
      return "uploads";
  }
  return "unknown";
}

// One service declared in the operators' text.
struct Service {
  ServiceName name;
  std::vector<ServiceName> depends_on;
  ServiceCallKind call_kind = ServiceCallKind::kIdempotent;
  // Whether callers need no key of a customer.
  bool is_public = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_SERVICE_H_
