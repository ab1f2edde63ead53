#ifndef PRIMROSEWEIR_ROUTES_SERVICE_SETTINGS_H_
#define PRIMROSEWEIR_ROUTES_SERVICE_SETTINGS_H_

#include <cstdint>
#include <string>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Settings of the upstreams of one service, as configured by the operators.
struct ServiceSettings {
  // Request target of a probe; empty when the service has none.
  std::string probe_target;
  // Connections that one upstream accepts from all instances together.
  std::uint32_t connections = 1;
  // Time for which an upstream is cold after its start.
  Duration warm_up{};
  // Calls per second that a cold upstream can serve, from all instances together.
  double cold_rate = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTES_SERVICE_SETTINGS_H_
