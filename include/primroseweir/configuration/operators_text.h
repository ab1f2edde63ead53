#ifndef PRIMROSEWEIR_CONFIGURATION_OPERATORS_TEXT_H_
#define PRIMROSEWEIR_CONFIGURATION_OPERATORS_TEXT_H_

#include <optional>
#include <vector>

#include "primroseweir/configuration/service.h"
#include "primroseweir/customers/customer_table.h"

namespace primroseweir {

// Parsed value of `text`.
struct OperatorsText {
  std::vector<Service> services;
  // The customers with their keys; no value if the text has no field `customers`.
  std::optional<std::vector<CustomerTable::Entry>> customers;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_OPERATORS_TEXT_H_
