#ifndef PRIMROSEWEIR_FLEET_FLEET_MEMBER_H_
#define PRIMROSEWEIR_FLEET_FLEET_MEMBER_H_

#include <cstdint>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/fleet/fleet_capacity.h"

namespace primroseweir {

// One instance as the instances tell each other. The pair (incarnation, beat) orders two statements
// about the same instance.
struct FleetMember {
  // IPv4 address; identifies the instance.
  std::string ip;
  DataCentre data_centre;
  Incarnation incarnation;
  // Counts up with each heartbeat of one incarnation.
  std::uint64_t heartbeat = 0;
  // Takes no new callers: it stops, or it has no configuration yet. It may read the store still.
  bool leaving = false;
  // The platform's store serves it: others of its data centre may follow it instead of the store.
  bool reads_store = false;
  // What the machine can carry and what it carries.
  FleetCapacity capacity;
  // Revision up to which the instance knows the published state.
  Revision published;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_MEMBER_H_
