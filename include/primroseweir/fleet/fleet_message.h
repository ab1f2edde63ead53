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
  // Whether the sender knows of no other instance that reads the store, or lacks the crash strikes
  // of its peers, and requests the records of the readers and the strikes.
  bool requests_readers = false;
  // Encoded PublishedSnapshot of the newest change if that is small, else empty.
  std::string change;
  // Calls of customers with quotas at the sender; absent if it has none.
  std::optional<UsageReport> usage;
  // Crash strikes that the sender knows, for an instance that started; present in the first message
  // to it even if there are none, otherwise absent.
  std::optional<std::vector<CrashStrike>> known_strikes;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_MESSAGE_H_
