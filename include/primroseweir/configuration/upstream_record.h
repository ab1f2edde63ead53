#ifndef PRIMROSEWEIR_CONFIGURATION_UPSTREAM_RECORD_H_
#define PRIMROSEWEIR_CONFIGURATION_UPSTREAM_RECORD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Upper bound of the remaining warm-up time that an upstream states, in its entry or in the
// response to a probe. It is far above the times that upstreams need; one that states more is
// faulty and must not be paced for good.
constexpr Duration kMaxWarmUpTime = std::chrono::hours(1);

// State of an upstream in the platform's list, which lags behind what the upstream itself reports.
enum class ListedState { kLive, kLeaving };

// One entry of the platform's list of upstreams.
struct UpstreamRecord {
  UpstreamId id;
  ServiceName service;
  DataCentre data_centre;
  SocketAddress address;
  // Number of calls that the upstream executes concurrently.
  std::uint32_t slots = 1;
  // Number of connections that the upstream accepts, summed over all instances.
  std::uint32_t connections = 1;
  // Request target of a probe; empty when the upstream has none.
  std::string probe_target;
  // Time for which a probe occupies one slot.
  Duration probe_cost{};
  ListedState state = ListedState::kLive;
  // Remaining warm-up time at the moment when the upstream was listed.
  Duration warm_up_left{};
  // Start time of the upstream's process by the upstream's clock, in milliseconds since the Unix
  // epoch; 0 when unknown. A change means that the upstream restarted with the same id.
  std::int64_t started_ms = 0;

  friend bool operator==(const UpstreamRecord& a, const UpstreamRecord& b) {
    const auto fields = [](const UpstreamRecord& r) {
      return std::tie(r.id, r.service, r.data_centre, r.address, r.slots, r.connections,
                      r.probe_target, r.probe_cost, r.state, r.warm_up_left, r.started_ms);
    };
    return fields(a) == fields(b);
  }
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_UPSTREAM_RECORD_H_
