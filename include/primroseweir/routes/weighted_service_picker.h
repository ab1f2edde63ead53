#ifndef PRIMROSEWEIR_ROUTES_WEIGHTED_SERVICE_PICKER_H_
#define PRIMROSEWEIR_ROUTES_WEIGHTED_SERVICE_PICKER_H_

#include <map>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/random.h"
#include "primroseweir/routes/route.h"

namespace primroseweir {

// Divides the calls of each route among its services in the proportion of the weights. Smooth
// weighted round robin: any run of calls is within one call of the exact shares, unlike a random
// choice, so that the shares also hold for short spans at every instance.
class WeightedServicePicker {
 public:
  // The random start keeps instances that start together from serving the parts in step.
  explicit WeightedServicePicker(std::uint64_t seed) : random_(seed) {}

  // The service for the next call of the route. Linear in the number of its targets.
  const ServiceName& Next(const Route& route);

 private:
  struct Credit {
    std::vector<RouteTarget> targets;
    std::vector<double> credits;
  };

  Random random_;
  // Keyed by host and prefix; starts anew when the targets of a route change.
  std::map<std::pair<std::string, std::string>, Credit> routes_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTES_WEIGHTED_SERVICE_PICKER_H_
