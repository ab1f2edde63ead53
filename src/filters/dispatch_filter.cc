#include "primroseweir/filters/dispatch_filter.h"

#include "primroseweir/filters/call.h"
#include "primroseweir/filters/detail/call_dispatch.h"

namespace primroseweir {

CallOutcome DispatchFilter::Handle(Call* call, const Next& next) {
  detail::CallDispatch dispatch(dependencies_, call);
  return dispatch.Run();
}

}  // namespace primroseweir
