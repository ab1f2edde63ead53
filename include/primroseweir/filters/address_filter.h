#ifndef PRIMROSEWEIR_FILTERS_ADDRESS_FILTER_H_
#define PRIMROSEWEIR_FILTERS_ADDRESS_FILTER_H_

#include <chrono>

#include "primroseweir/base/time.h"
#include "primroseweir/filters/filter.h"

namespace primroseweir {

class CallKeyIssuer;
class Fleet;

// Answers GET /primroseweir/addresses. The caller's id is the query parameter `caller`, else the
// address of its connection.
class AddressFilter : public Filter {
 public:
  // Both outlive the filter.
  AddressFilter(const Fleet* fleet, const CallKeyIssuer* issuer) : fleet_(fleet), issuer_(issuer) {}

  CallOutcome Handle(Call* call, const Next& next) override;

  // Time for which a caller may keep the answer.
  static constexpr Duration kValidity = std::chrono::seconds(30);

 private:
  CallOutcome RespondWithAddresses(Call* call) const;

  const Fleet* const fleet_;
  const CallKeyIssuer* const issuer_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_ADDRESS_FILTER_H_
