#ifndef PRIMROSEWEIR_FILTERS_DISPATCH_FILTER_H_
#define PRIMROSEWEIR_FILTERS_DISPATCH_FILTER_H_

#include "primroseweir/filters/dispatch_services.h"
#include "primroseweir/filters/filter.h"
#include "primroseweir/filters/latency_quantiles.h"

namespace primroseweir {

// Last filter: sends the call to upstreams, with retries and hedges by section 7.5 of the design,
// and passes the answer on.
class DispatchFilter : public Filter {
 public:
  explicit DispatchFilter(const DispatchServices& services) : services_(services) {}

  CallEnd Handle(Call* call, const Next& next) override;

 private:
  const DispatchServices services_;
  LatencyQuantiles latencies_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DISPATCH_FILTER_H_
