#ifndef PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_
#define PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_

#include <string>
#include <vector>

#include "primroseweir/fleet/fleet_heartbeat.h"
#include "primroseweir/fleet/fleet_member.h"
#include "primroseweir/fleet/peer_load_report.h"

namespace primroseweir {

// One datagram between instances. The sender is the first member.
struct FleetMessage {
  std::vector<FleetMember> members;
  // Heartbeats of others, as far as the sender knows them.
  std::vector<FleetHeartbeat> heartbeats;
  // The heartbeats are from the data centre of the second member, which sent them to the sender.
  bool forwarded = false;
  // IPv4 addresses of instances whose statement the sender asks for.
  std::vector<std::string> requested_records;
  PeerLoadReport load;
  // The sender has not heard of a reader of the store: it asks who reads.
  bool requests_readers = false;
  // An encoded PublishedSnapshot of the newest change, when that is small; else empty.
  std::string change;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_
