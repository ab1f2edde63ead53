#ifndef PRIMROSEWEIR_FILTERS_REQUEST_ID_FILTER_H_
#define PRIMROSEWEIR_FILTERS_REQUEST_ID_FILTER_H_

#include <string>

#include "primroseweir/filters/filter.h"

namespace primroseweir {

// Sets the call's request id from the caller's header, or generates one when it is missing or
// invalid.
class RequestIdFilter : public Filter {
 public:
  // `instance` is the prefix of generated ids.
  explicit RequestIdFilter(const std::string& instance) : instance_(instance) {}

  CallOutcome Handle(Call* call, const Next& next) override;

 private:
  const std::string instance_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_REQUEST_ID_FILTER_H_
