#ifndef PRIMROSEWEIR_ROUTES_WEIGHTED_SERVICE_PICKER_H_
#define PRIMROSEWEIR_ROUTES_WEIGHTED_SERVICE_PICKER_H_

#include <map>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/random.h"
#include "primroseweir/routes/route.h"

namespace primroseweir {

// Divides the calls of each route among its services in proportion to their weights, by smooth
// weighted round robin. Unlike with random picks, any sequence of calls is within about one call of
// the exact shares, so that the shares also hold over short spans at every instance.
class WeightedServicePicker {
 public:
  // Seeds the random initial credits, which keep instances that start at the same time from picking
  // the same services in step.
  explicit WeightedServicePicker(std::uint64_t seed) : random_(seed) {}

  // Picks the service for the next call of the route. Linear in the number of its targets.
  const ServiceName& Next(const Route& route);

 private:
  struct RouteState {
    std::vector<RouteTarget> targets;
    std::vector<double> credits;
  };

  Random random_;
  // Keyed by host and prefix. An entry is reset when the targets of its route change.
  std::map<std::pair<std::string, std::string>, RouteState> route_states_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTES_WEIGHTED_SERVICE_PICKER_H_
