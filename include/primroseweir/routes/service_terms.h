#ifndef PRIMROSEWEIR_ROUTES_SERVICE_TERMS_H_
#define PRIMROSEWEIR_ROUTES_SERVICE_TERMS_H_

#include <cstdint>
#include <string>

#include "primroseweir/base/time.h"

namespace primroseweir {

// What the operators state about the upstreams of one service.
struct ServiceTerms {
  // Target of a probe; empty when there is none.
  std::string probe;
  // Connections that one upstream accepts from all instances together.
  std::uint32_t connections = 1;
  // How long an upstream stays cold after its start.
  Duration warm_up{};
  // Calls a second that a cold upstream bears from all instances together.
  double cold_rate = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTES_SERVICE_TERMS_H_
