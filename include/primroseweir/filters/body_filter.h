#ifndef PRIMROSEWEIR_FILTERS_BODY_FILTER_H_
#define PRIMROSEWEIR_FILTERS_BODY_FILTER_H_

#include <cstddef>

#include "primroseweir/filters/filter.h"

namespace primroseweir {

// Reads the first 64 KB of the body, so that a call can be sent again and a slow sender holds no
// slot of an upstream. Computes the fingerprint.
class BodyFilter : public Filter {
 public:
  CallOutcome Handle(Call* call, const Next& next) override;

  static constexpr std::size_t kBufferedBytes = std::size_t{64} * 1024;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_BODY_FILTER_H_
