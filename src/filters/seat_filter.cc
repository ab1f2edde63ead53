#include "primroseweir/filters/seat_filter.h"

namespace primroseweir {

CallOutcome SeatFilter::Handle(Call* call, const Next& next) {
  return is_seat_taken_()
             ? CallOutcome::NotExecuted("seat", "another process has the seat of this instance")
             : next(call);
}

}  // namespace primroseweir
