#ifndef PRIMROSEWEIR_GATEWAY_SERVING_STATE_H_
#define PRIMROSEWEIR_GATEWAY_SERVING_STATE_H_

#include <memory>
#include <set>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/upstream_record.h"

namespace primroseweir {

class RouteTable;

// What the operators and the upstreams published, as of one revision.
struct ServingState {
  // Null before the first configuration.
  std::shared_ptr<const RouteTable> routes;
  std::vector<UpstreamRecord> upstreams;
  // Data centres out of service.
  std::set<DataCentre> out;
  Revision revision;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_SERVING_STATE_H_
