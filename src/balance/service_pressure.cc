#include "primroseweir/balance/service_pressure.h"

#include <algorithm>

namespace primroseweir {

void ServicePressure::Update(double calls, double room) {
  if (room > 0) {
    level_ = std::min(1.0, calls / room);
  } else {
    level_ = calls > 0 ? 1 : 0;
  }
  is_tight_ = level_ >= (is_tight_ ? relaxed_level_ : tight_level_);
}

}  // namespace primroseweir
