#ifndef PRIMROSEWEIR_FILTERS_FILTER_H_
#define PRIMROSEWEIR_FILTERS_FILTER_H_

#include <functional>

#include "primroseweir/filters/call_outcome.h"

namespace primroseweir {

struct Call;

// One step in the handling of a call. Filters are shared by all calls and must be thread-safe.
class Filter {
 public:
  using Next = std::function<CallOutcome(Call*)>;

  virtual ~Filter() = default;

  // Completes the call itself or invokes `next` to run the rest of the chain.
  virtual CallOutcome Handle(Call* call, const Next& next) = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_FILTER_H_
