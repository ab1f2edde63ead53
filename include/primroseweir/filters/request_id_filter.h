#ifndef PRIMROSEWEIR_FILTERS_REQUEST_ID_FILTER_H_
#define PRIMROSEWEIR_FILTERS_REQUEST_ID_FILTER_H_

#include <string>

#include "primroseweir/filters/filter.h"

namespace primroseweir {

// Takes the request id from the caller or makes one.
class RequestIdFilter : public Filter {
 public:
  // `instance` starts each id made here.
  explicit RequestIdFilter(const std::string& instance) : instance_(instance) {}

  CallOutcome Handle(Call* call, const Next& next) override;

 private:
  const std::string instance_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_REQUEST_ID_FILTER_H_
