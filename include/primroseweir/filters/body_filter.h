#ifndef PRIMROSEWEIR_FILTERS_BODY_FILTER_H_
#define PRIMROSEWEIR_FILTERS_BODY_FILTER_H_

#include <cstddef>

#include "primroseweir/filters/filter.h"

namespace primroseweir {

// Buffers the first 64 KB of the request body before dispatch, so that the call can be retried and
// a slow caller does not occupy a slot of an upstream. Also computes the call's fingerprint.
class BodyFilter : public Filter {
 public:
  CallOutcome Handle(Call* call, const Next& next) override;

  static constexpr std::size_t kBufferedBytes = std::size_t{64} * 1024;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_BODY_FILTER_H_
