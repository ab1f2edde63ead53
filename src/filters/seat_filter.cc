#include "primroseweir/filters/seat_filter.h"

namespace primroseweir {

CallEnd SeatFilter::Handle(Call* call, const Next& next) {
  return seat_taken_() ? CallEnd::NotRun("seat", "another process has the seat of this instance")
                       : next(call);
}

}  // namespace primroseweir
