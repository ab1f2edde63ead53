#ifndef PRIMROSEWEIR_CONFIGURATION_UPSTREAM_RECORD_H_
#define PRIMROSEWEIR_CONFIGURATION_UPSTREAM_RECORD_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// State of an upstream in the platform's list. The list lags behind the upstream's own word.
enum class ListedState { kLive, kLeaving };

// One upstream as the platform lists it.
struct UpstreamRecord {
  UpstreamId id;
  ServiceName service;
  DataCentre data_centre;
  SocketAddress address;
  // Calls that the upstream executes at a time.
  std::uint32_t slots = 1;
  // Connections that the upstream accepts, over the whole fleet.
  std::uint32_t connections = 1;
  // Target of a probe; empty when the upstream names none.
  std::string probe;
  // Time for which a probe occupies one slot.
  Duration probe_cost{};
  ListedState state = ListedState::kLive;
  // How much longer the upstream stays cold, as of the moment when it was listed.
  Duration warm_up_left{};
  // Start of the upstream's process in milliseconds since 1970 by its own clock; 0 when unknown. A
  // change means that an upstream restarted under its old id.
  std::int64_t started_ms = 0;

  friend bool operator==(const UpstreamRecord& a, const UpstreamRecord& b) {
    const auto fields = [](const UpstreamRecord& r) {
      return std::tie(r.id, r.service, r.data_centre, r.address, r.slots, r.connections, r.probe,
                      r.probe_cost, r.state, r.warm_up_left, r.started_ms);
    };
    return fields(a) == fields(b);
  }
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_UPSTREAM_RECORD_H_
