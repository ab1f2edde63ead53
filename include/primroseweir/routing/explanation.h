#ifndef PRIMROSEWEIR_ROUTING_EXPLANATION_H_
#define PRIMROSEWEIR_ROUTING_EXPLANATION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/upstream/observation.h"

namespace primroseweir {

// Why an upstream is or is not used for calls at this moment.
enum class UpstreamAvailability {
  // Open, and below its limit.
  kUsed,
  // Starting cold; this instance may send its share of the window.
  kWarmingUp,
  // Starting cold; other instances own the window.
  kNoShare,
  // As many calls in flight as this instance may have there.
  kAtLimit,
  // Its data centre is declared out of service.
  kDataCentreOut,
  // The platform's list says that it is leaving.
  kLeavingListed,
  // It said itself, here or to a peer, that it is leaving.
  kLeavingSelfReported,
};

// Name as in the admin port's answers, such as "no_share".
const char* UpstreamAvailabilityName(UpstreamAvailability availability);

// State of one upstream as the routing sees it.
struct UpstreamExplanation {
  UpstreamId id;
  DataCentre data_centre;
  UpstreamAvailability availability = UpstreamAvailability::kUsed;
  Epoch epoch;
  std::uint32_t window = 1;
  std::uint32_t slots = 1;
  // Calls at a time that this instance may have there, and has.
  std::uint32_t limit = 0;
  std::uint32_t in_flight = 0;
  std::optional<LoadReport> report;
  Duration latency{};
  Duration baseline{};
};

// State of one service as the routing sees it.
struct ServiceExplanation {
  ServiceName service;
  // A dependency without any upstream in service: all calls are answered "not run". Empty if none.
  ServiceName missing_dependency;
  // Calls at a time that this instance admits, has admitted, and lets wait.
  std::uint32_t limit = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t waiting = 0;
  std::vector<UpstreamExplanation> upstreams;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_EXPLANATION_H_
