#ifndef PRIMROSEWEIR_FILTERS_DISPATCH_DEPENDENCIES_H_
#define PRIMROSEWEIR_FILTERS_DISPATCH_DEPENDENCIES_H_

#include <functional>

#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

class ConnectionPool;
class Router;
struct ServiceTable;

// Dependencies of the dispatch filter. The pointers must outlive the filter.
struct DispatchDependencies {
  Router* router = nullptr;
  ConnectionPool* pool = nullptr;
  // Returns true when the configuration was confirmed recently. Otherwise requests it, waiting at
  // most 200 ms, and returns false. Without this check, an instance that was paused or isolated
  // would dispatch calls with an outdated configuration.
  std::function<bool(Instant now)> ensure_fresh = [](Instant) { return true; };
  // Services and customers in force, by which the caller is identified again before each attempt,
  // so that a call that waited is not sent with a withdrawn key. Null: callers are not identified.
  const RcuCell<ServiceTable>* services = nullptr;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DISPATCH_DEPENDENCIES_H_
