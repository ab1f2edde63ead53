#ifndef PRIMROSEWEIR_FILTERS_DISPATCH_DEPENDENCIES_H_
#define PRIMROSEWEIR_FILTERS_DISPATCH_DEPENDENCIES_H_

#include <functional>

#include "primroseweir/base/time.h"

namespace primroseweir {

class ConnectionPool;
class Router;

// Dependencies of the dispatch filter. The pointers must outlive the filter.
struct DispatchDependencies {
  Router* router = nullptr;
  ConnectionPool* pool = nullptr;
  // Returns true when the configuration was confirmed recently. Otherwise requests it, waiting at
  // most 200 ms, and returns false. Without this check, an instance that was paused or isolated
  // would dispatch calls with an outdated configuration.
  std::function<bool(Instant now)> ensure_fresh = [](Instant) { return true; };
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DISPATCH_DEPENDENCIES_H_
