#ifndef PRIMROSEWEIR_FILTERS_FILTER_H_
#define PRIMROSEWEIR_FILTERS_FILTER_H_

#include <functional>

#include "primroseweir/filters/call_outcome.h"

namespace primroseweir {

struct Call;

// One step of a call. Filters are shared by all calls and safe for many threads.
class Filter {
 public:
  using Next = std::function<CallOutcome(Call*)>;

  virtual ~Filter() = default;

  // Ends the call itself or lets the rest of the chain do so.
  virtual CallOutcome Handle(Call* call, const Next& next) = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_FILTER_H_
