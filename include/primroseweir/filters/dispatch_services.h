#ifndef PRIMROSEWEIR_FILTERS_DISPATCH_SERVICES_H_
#define PRIMROSEWEIR_FILTERS_DISPATCH_SERVICES_H_

#include <functional>

#include "primroseweir/base/time.h"

namespace primroseweir {

class ConnectionPool;
class Router;

// What the dispatch of a call uses from other modules. The pointers outlive the filter.
struct DispatchServices {
  Router* router = nullptr;
  ConnectionPool* pool = nullptr;
  // Makes sure that the configuration was heard of recently, see section 7.7. May block for 200 ms.
  std::function<void(Instant now)> ensure_fresh = [](Instant) {};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DISPATCH_SERVICES_H_
