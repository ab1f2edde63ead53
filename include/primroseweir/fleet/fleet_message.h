#ifndef PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_
#define PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_

#include <vector>

#include "primroseweir/fleet/fleet_member.h"
#include "primroseweir/fleet/load_digest.h"

namespace primroseweir {

// One datagram between instances. The sender is the first member.
struct FleetMessage {
  std::vector<FleetMember> members;
  LoadDigest load;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_
