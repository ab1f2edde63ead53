#include "primroseweir/filters/service_table.h"

namespace primroseweir {

ServiceTable::ServiceTable(const std::vector<Service>& list) {
  for (const auto& service : list) {
    services.emplace(service.name, service);
  }
}

}  // namespace primroseweir
