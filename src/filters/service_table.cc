#include "primroseweir/filters/service_table.h"

#include <utility>

namespace primroseweir {

ServiceTable::ServiceTable(const std::vector<Service>& list,
                           std::shared_ptr<const CustomerTable> customers)
    : customers(std::move(customers)) {
  for (const auto& service : list) {
    services.emplace(service.name, service);
  }
}

}  // namespace primroseweir
