#ifndef PRIMROSEWEIR_CONFIGURATION_INSTANCE_LIST_H_
#define PRIMROSEWEIR_CONFIGURATION_INSTANCE_LIST_H_

#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/upstream_record.h"

namespace primroseweir {

// Parsed value of `instances`. Holds either the upstreams or, when the list is divided, the data
// centres whose `instances/DC` values hold them.
struct InstanceList {
  bool is_divided = false;
  std::vector<DataCentre> parts;
  std::vector<UpstreamRecord> upstreams;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_INSTANCE_LIST_H_
