#ifndef PRIMROSEWEIR_GATEWAY_SERVING_STATE_H_
#define PRIMROSEWEIR_GATEWAY_SERVING_STATE_H_

#include <memory>
#include <set>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/configuration/upstream_record.h"

namespace primroseweir {

class RouteTable;

// Snapshot at one revision of what the operators and the upstreams have published.
struct ServingState {
  // Null until the first configuration has been received.
  std::shared_ptr<const RouteTable> routes;
  std::vector<UpstreamRecord> upstreams;
  // Data centres that are out of service.
  std::set<DataCentre> data_centres_out;
  Revision revision;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_SERVING_STATE_H_
