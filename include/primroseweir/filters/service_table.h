#ifndef PRIMROSEWEIR_FILTERS_SERVICE_TABLE_H_
#define PRIMROSEWEIR_FILTERS_SERVICE_TABLE_H_

#include <unordered_map>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/service.h"

namespace primroseweir {

// Maps names to the services of the configuration in force. Immutable once published through an
// RcuCell.
struct ServiceTable {
  ServiceTable() = default;
  explicit ServiceTable(const std::vector<Service>& list);

  std::unordered_map<ServiceName, Service> services;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_SERVICE_TABLE_H_
