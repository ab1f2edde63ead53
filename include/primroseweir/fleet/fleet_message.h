#ifndef PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_
#define PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_

#include <optional>
#include <string>
#include <vector>

#include "primroseweir/customers/customer_usage.h"
#include "primroseweir/fleet/fleet_heartbeat.h"
#include "primroseweir/fleet/fleet_member.h"
#include "primroseweir/fleet/peer_load_report.h"

namespace primroseweir {

// One datagram between instances.
struct FleetMessage {
  // Records of instances, the sender's first.
  std::vector<FleetMember> members;
  // Newest heartbeats of other instances that the sender knows.
  std::vector<FleetHeartbeat> heartbeats;
  // Whether the sender forwards heartbeats that it received from the second member, an instance of
  // another data centre.
  bool forwarded = false;
  // IPv4 addresses of instances whose records the sender requests.
  std::vector<std::string> requested_records;
  PeerLoadReport load;
  // Whether the sender knows of no other instance that reads the store and requests the records of
  // those that do.
  bool requests_readers = false;
  // Encoded PublishedSnapshot of the newest change if that is small, else empty.
  std::string change;
  // Calls of customers with quotas at the sender; absent if it has none.
  std::optional<UsageReport> usage;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_
