#ifndef PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_
#define PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_

#include <string>
#include <vector>

#include "primroseweir/fleet/fleet_beat.h"
#include "primroseweir/fleet/fleet_member.h"
#include "primroseweir/fleet/load_digest.h"

namespace primroseweir {

// One datagram between instances. The sender is the first member.
struct FleetMessage {
  std::vector<FleetMember> members;
  // Heartbeats of others, as far as the sender knows them.
  std::vector<FleetBeat> beats;
  // The heartbeats are from the data centre of the second member, which sent them to the sender.
  bool passed_on = false;
  // IPv4 addresses of instances whose statement the sender asks for.
  std::vector<std::string> wanted;
  LoadDigest load;
  // The sender has not heard of a reader of the store: it asks who reads.
  bool asks = false;
  // An encoded PublishedCopy of the newest change, when that is small; else empty.
  std::string change;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_
