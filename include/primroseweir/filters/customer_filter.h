#ifndef PRIMROSEWEIR_FILTERS_CUSTOMER_FILTER_H_
#define PRIMROSEWEIR_FILTERS_CUSTOMER_FILTER_H_

#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/filters/filter.h"
#include "primroseweir/filters/service_table.h"

namespace primroseweir {

class CustomerCalls;

// Identifies the customer of a call by its key, before the body is read, and refuses callers
// without a key, unless the service is public or the configuration has no customers.
class CustomerFilter : public Filter {
 public:
  // `services` and `calls` must outlive the filter. With `calls` null, calls are not counted.
  explicit CustomerFilter(const RcuCell<ServiceTable>* services, CustomerCalls* calls = nullptr)
      : services_(services), calls_(calls) {}

  CallOutcome Handle(Call* call, const Next& next) override;

  // Identifies the caller by the customers of `table` and sets the fields of the call. Returns
  // whether the caller may use the service.
  static bool Identify(const ServiceTable& table, Call* call);
  // Returns the response to a caller that may not use the service.
  static CallOutcome Refusal();

 private:
  CallOutcome Run(Call* call, bool is_allowed, const Next& next) const;

  const RcuCell<ServiceTable>* const services_;
  CustomerCalls* const calls_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CUSTOMER_FILTER_H_
