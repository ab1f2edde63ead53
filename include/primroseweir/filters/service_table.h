#ifndef PRIMROSEWEIR_FILTERS_SERVICE_TABLE_H_
#define PRIMROSEWEIR_FILTERS_SERVICE_TABLE_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/service.h"
#include "primroseweir/customers/customer_table.h"

namespace primroseweir {

// Maps names to the services of the configuration in force, with its customers. Immutable once
// published through an RcuCell.
struct ServiceTable {
  ServiceTable() = default;
  explicit ServiceTable(const std::vector<Service>& list,
                        std::shared_ptr<const CustomerTable> customers = nullptr);

  std::unordered_map<ServiceName, Service> services;
  // Null if calls need no key.
  std::shared_ptr<const CustomerTable> customers;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_SERVICE_TABLE_H_
