#ifndef PRIMROSEWEIR_CUSTOMERS_CUSTOMER_H_
#define PRIMROSEWEIR_CUSTOMERS_CUSTOMER_H_

#include <cstdint>
#include <optional>

#include "primroseweir/base/ids.h"

namespace primroseweir {

// A customer as configured by the operators, without its keys.
struct Customer {
  CustomerName name;
  // Hash of the name, which identifies the customer in messages between instances.
  std::uint64_t hash = 0;
  // Priority of the customer's calls, which takes precedence over that of the route.
  std::optional<std::uint32_t> priority;
  // Quota over all instances together: calls per second and additional calls at once. Without a
  // rate there is no limit.
  double rate = 0;
  double burst = 0;
  // Share of scarce upstreams relative to that of other customers: the root of the rate, since
  // shares in proportion to the rate starve small customers (docs/design/fairness.md). The mean is
  // 1, which is also that of a customer without a rate. Set by CustomerTable::Create.
  double weight = 1;

  bool has_quota() const { return rate > 0; }
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CUSTOMERS_CUSTOMER_H_
