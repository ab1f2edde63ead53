#ifndef PRIMROSEWEIR_FILTERS_DISPATCH_FILTER_H_
#define PRIMROSEWEIR_FILTERS_DISPATCH_FILTER_H_

#include "primroseweir/filters/dispatch_dependencies.h"
#include "primroseweir/filters/filter.h"

namespace primroseweir {

// Sends the call to an upstream, with retries and hedging, and forwards the response. The last
// filter of the chain.
class DispatchFilter : public Filter {
 public:
  explicit DispatchFilter(const DispatchDependencies& dependencies) : dependencies_(dependencies) {}

  CallOutcome Handle(Call* call, const Next& next) override;

 private:
  const DispatchDependencies dependencies_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DISPATCH_FILTER_H_
