#ifndef PRIMROSEWEIR_FILTERS_ROUTE_FILTER_H_
#define PRIMROSEWEIR_FILTERS_ROUTE_FILTER_H_

#include <chrono>

#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/base/time.h"
#include "primroseweir/filters/filter.h"
#include "primroseweir/filters/service_table.h"

namespace primroseweir {

// Determines the service, deadline, depth and priority of a call from its request head, and whether
// the call is idempotent.
class RouteFilter : public Filter {
 public:
  // `services` must outlive the filter.
  explicit RouteFilter(const RcuCell<ServiceTable>* services) : services_(services) {}

  CallOutcome Handle(Call* call, const Next& next) override;

  // Maximum pause of a caller within the body of an upload. The second retransmission of a lost
  // packet arrives within this time.
  static constexpr Duration kUploadIdleTimeout = std::chrono::seconds(2);

 private:
  CallOutcome Route(Call* call) const;

  const RcuCell<ServiceTable>* const services_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_ROUTE_FILTER_H_
