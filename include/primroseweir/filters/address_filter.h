#ifndef PRIMROSEWEIR_FILTERS_ADDRESS_FILTER_H_
#define PRIMROSEWEIR_FILTERS_ADDRESS_FILTER_H_

#include <chrono>

#include "primroseweir/base/time.h"
#include "primroseweir/filters/filter.h"

namespace primroseweir {

class CallKeyIssuer;
class Fleet;

// Responds to GET /primroseweir/addresses with the instance addresses that a caller should use. The
// caller is identified by the query parameter `caller`, or else by the IP address of its
// connection.
class AddressFilter : public Filter {
 public:
  // `fleet` and `issuer` must outlive the filter.
  AddressFilter(const Fleet* fleet, const CallKeyIssuer* issuer) : fleet_(fleet), issuer_(issuer) {}

  CallOutcome Handle(Call* call, const Next& next) override;

  // Time for which a caller may cache the response.
  static constexpr Duration kValidity = std::chrono::seconds(30);

 private:
  CallOutcome RespondWithAddresses(Call* call) const;

  const Fleet* const fleet_;
  const CallKeyIssuer* const issuer_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_ADDRESS_FILTER_H_
