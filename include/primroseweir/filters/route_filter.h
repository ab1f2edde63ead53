#ifndef PRIMROSEWEIR_FILTERS_ROUTE_FILTER_H_
#define PRIMROSEWEIR_FILTERS_ROUTE_FILTER_H_

#include <chrono>

#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/base/time.h"
#include "primroseweir/filters/filter.h"
#include "primroseweir/filters/service_table.h"

namespace primroseweir {

// Reads service, deadline, depth and priority of a call from its head and decides whether the call
// may be repeated.
class RouteFilter : public Filter {
 public:
  // `services` outlives the filter.
  explicit RouteFilter(const RcuCell<ServiceTable>* services) : services_(services) {}

  CallOutcome Handle(Call* call, const Next& next) override;

  // Longest pause of a caller in the body of an upload: the second repetition of a lost packet
  // arrives within it.
  static constexpr Duration kUploadIdleTimeout = std::chrono::seconds(2);

 private:
  CallOutcome Route(Call* call) const;

  const RcuCell<ServiceTable>* const services_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_ROUTE_FILTER_H_
