#ifndef PRIMROSEWEIR_ROUTING_EXPLANATION_H_
#define PRIMROSEWEIR_ROUTING_EXPLANATION_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// Reason why an upstream is used for calls, or is not used, at this moment.
enum class Availability {
  // The warm-up window is open, and the upstream is below its limit.
  kUsed,
  // The upstream is in warm-up; this instance may send its share of the window.
  kWarmingUp,
  // The upstream is in warm-up; other instances own the whole window.
  kNoShare,
  // As many calls are in flight as this instance may have there.
  kAtLimit,
  // The data centre of the upstream is declared out of service.
  kDataCentreOut,
  // The platform's list marks the upstream as leaving.
  kLeavingListed,
  // The upstream itself reported, to this instance or to a peer, that it is leaving.
  kLeavingSelfReported,
};

// Returns the name that the admin port's responses use, such as "no_share".
const char* AvailabilityName(Availability availability);

// Routing state of one upstream.
struct UpstreamExplanation {
  UpstreamId id;
  DataCentre data_centre;
  Availability availability = Availability::kUsed;
  Epoch epoch;
  std::uint32_t window = 1;
  std::uint32_t slots = 1;
  // Number of calls that this instance may have in flight there, and the number that it has.
  std::uint32_t limit = 0;
  std::uint32_t in_flight = 0;
  std::optional<LoadReport> report;
  Duration latency{};
  Duration baseline{};
};

// Routing state of one service.
struct ServiceExplanation {
  ServiceName service;
  // A dependency that has no upstream in service, or that lacks a dependency itself; all calls are
  // then refused as not executed. Empty if there is none.
  ServiceName missing_dependency;
  // Number of calls that this instance admits at a time, has admitted, and keeps waiting.
  std::uint32_t limit = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t waiting = 0;
  std::vector<UpstreamExplanation> upstreams;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_EXPLANATION_H_
