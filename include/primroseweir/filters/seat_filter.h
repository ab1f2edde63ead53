#ifndef PRIMROSEWEIR_FILTERS_SEAT_FILTER_H_
#define PRIMROSEWEIR_FILTERS_SEAT_FILTER_H_

#include <functional>
#include <utility>

#include "primroseweir/filters/filter.h"

namespace primroseweir {

// Refuses calls while an older process holds this instance's seat.
class SeatFilter : public Filter {
 public:
  explicit SeatFilter(std::function<bool()> is_seat_taken)
      : is_seat_taken_(std::move(is_seat_taken)) {}

  CallOutcome Handle(Call* call, const Next& next) override;

 private:
  const std::function<bool()> is_seat_taken_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_SEAT_FILTER_H_
