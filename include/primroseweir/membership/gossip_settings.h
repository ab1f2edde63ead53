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

// Settings of the gossip protocol.
struct GossipSettings {
  // This instance. With port 0 in its peer address, a free port is bound.
  Member self;
  // Addresses of the `peers` setting, contacted at start and after a network partition.
  std::vector<SocketAddress> seeds;
  std::string fleet_key;
  MembershipTimeouts timeouts;
  Duration period = std::chrono::milliseconds(200);
  // Limit on the bytes sent per second, including 28 bytes of IP and UDP headers per datagram.
  double bytes_per_second = 7'000;
  double urgent_datagrams_per_second = 20;
  // Timeout of each wait on the network during a snapshot transfer.
  Duration snapshot_timeout = std::chrono::seconds(1);
  // Seed of the random choice of targets and records.
  std::uint64_t random_seed = 1;
  // Returns false to drop a message to this address. Tests simulate network partitions with it.
  std::function<bool(const SocketAddress& to)> send_filter;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_GOSSIP_SETTINGS_H_
