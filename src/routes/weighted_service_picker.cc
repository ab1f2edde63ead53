#include "primroseweir/routes/weighted_service_picker.h"

#include <algorithm>

namespace primroseweir {
namespace {

bool IsSameTargetList(const std::vector<RouteTarget>& a, const std::vector<RouteTarget>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const RouteTarget& x, const RouteTarget& y) {
                      return x.service == y.service && x.weight == y.weight;
                    });
}

}  // namespace

const ServiceName& WeightedServicePicker::Next(const Route& route) {
  if (route.targets.size() == 1) {
    return route.targets.front().service;
  }
  auto& state = route_states_[{route.host, route.prefix}];
  double total = 0;
  for (const auto& target : route.targets) {
    total += target.weight;
  }
  if (!IsSameTargetList(state.targets, route.targets)) {
    state.targets = route.targets;
    state.credits.clear();
    for (const auto& target : route.targets) {
      state.credits.push_back(random_.UniformUnit() * target.weight);
    }
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < route.targets.size(); ++i) {
    state.credits[i] += route.targets[i].weight;
    if (state.credits[i] > state.credits[best]) {
      best = i;
    }
  }
  state.credits[best] -= total;
  return route.targets[best].service;
}

}  // namespace primroseweir
