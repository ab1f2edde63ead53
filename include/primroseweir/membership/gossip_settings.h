#ifndef PRIMROSEWEIR_MEMBERSHIP_GOSSIP_SETTINGS_H_
#define PRIMROSEWEIR_MEMBERSHIP_GOSSIP_SETTINGS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/membership/member.h"
#include "primroseweir/membership/membership_timeouts.h"

namespace primroseweir {

// Settings of the gossip. The constants are those of docs/design.md section 6.
struct GossipSettings {
  // This instance. Port 0 of its peer address takes a free port.
  Member self;
  // `peers` of the settings: where to find the fleet at start and after a split.
  std::vector<SocketAddress> seeds;
  std::string fleet_key;
  MembershipTimeouts timeouts;
  Duration period = std::chrono::milliseconds(200);
  // Bytes sent a second, with 28 bytes of IP and UDP headers per datagram.
  double bytes_per_second = 7'000;
  double urgent_datagrams_per_second = 20;
  // For each wait on the network during a snapshot transfer.
  Duration snapshot_timeout = std::chrono::seconds(1);
  // Seed of the random choice of targets.
  std::uint64_t random_seed = 1;
  // Tests cut instances off with it: false drops a message to this address.
  std::function<bool(const SocketAddress& to)> send_filter;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_GOSSIP_SETTINGS_H_
