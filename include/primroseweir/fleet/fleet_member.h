#ifndef PRIMROSEWEIR_FLEET_FLEET_MEMBER_H_
#define PRIMROSEWEIR_FLEET_FLEET_MEMBER_H_

#include <cstdint>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/fleet/fleet_capacity.h"

namespace primroseweir {

// Record of one instance, as exchanged between instances. The pair (incarnation, heartbeat) orders
// two records of the same instance.
struct FleetMember {
  // IPv4 address; identifies the instance.
  std::string ip;
  DataCentre data_centre;
  Incarnation incarnation;
  // Number of the newest heartbeat of this incarnation.
  std::uint64_t heartbeat = 0;
  // Whether the instance accepts no new callers, because it is stopping or has no configuration
  // yet. It may still read the store.
  bool leaving = false;
  // Whether the platform's store serves the instance. Others of its data centre may then copy from
  // it instead of reading the store.
  bool reads_store = false;
  FleetCapacity capacity;
  // Revision up to which the instance knows the published state.
  Revision published_revision;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_MEMBER_H_
