#ifndef PRIMROSEWEIR_CONFIGURATION_INSTANCE_LIST_H_
#define PRIMROSEWEIR_CONFIGURATION_INSTANCE_LIST_H_

#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/upstream_record.h"

namespace primroseweir {

// A value of `instances`: either the upstreams or the data centres whose parts hold them.
struct InstanceList {
  bool divided = false;
  std::vector<DataCentre> parts;
  std::vector<UpstreamRecord> upstreams;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_INSTANCE_LIST_H_
