#ifndef PRIMROSEWEIR_FILTERS_DISPATCH_DEPENDENCIES_H_
#define PRIMROSEWEIR_FILTERS_DISPATCH_DEPENDENCIES_H_

#include <functional>

#include "primroseweir/base/time.h"

namespace primroseweir {

class ConnectionPool;
class Router;

// What the dispatch of a call uses from other modules. The pointers outlive the filter.
struct DispatchDependencies {
  Router* router = nullptr;
  ConnectionPool* pool = nullptr;
  // Answers true when the configuration was heard of recently, see section 7.7. Otherwise asks for
  // it, for at most 200 ms, and answers false.
  std::function<bool(Instant now)> ensure_fresh = [](Instant) { return true; };
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DISPATCH_DEPENDENCIES_H_
