#ifndef PRIMROSEWEIR_ADMIN_CUSTOMER_METRIC_H_
#define PRIMROSEWEIR_ADMIN_CUSTOMER_METRIC_H_

#include <string>
#include <tuple>

namespace primroseweir {

// Calls of a customer that ended in one way.
struct CustomerMetric {
  std::string customer;
  // served, unknown or refused.
  std::string result;
  // Step that refused the calls; empty for other results.
  std::string reason;
  double calls = 0;

  auto Key() const { return std::tie(customer, result, reason); }
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_CUSTOMER_METRIC_H_
