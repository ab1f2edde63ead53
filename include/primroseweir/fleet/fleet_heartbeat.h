#ifndef PRIMROSEWEIR_FLEET_FLEET_HEARTBEAT_H_
#define PRIMROSEWEIR_FLEET_FLEET_HEARTBEAT_H_

#include <cstdint>
#include <string>

#include "primroseweir/fleet/fleet_member.h"

namespace primroseweir {

// That an instance lives, in eight bytes: what instances tell each other of all others many times
// a second, where a whole FleetMember takes some sixty. Who does not know the statement behind the
// tag asks for it.
struct FleetHeartbeat {
  // IPv4 address; identifies the instance.
  std::uint32_t address = 0;
  // RecordDigest of the statement that the sender knows.
  std::uint16_t record_digest = 0;
  // The lowest bits of the heartbeat.
  std::uint16_t heartbeat = 0;

  friend bool operator==(const FleetHeartbeat& a, const FleetHeartbeat& b) {
    return a.address == b.address && a.record_digest == b.record_digest &&
           a.heartbeat == b.heartbeat;
  }
};

// Digest of what a member states beside its heartbeat and its published revision: two statements
// with the same tag say the same of the same life, but for one chance in 65,536.
std::uint16_t RecordDigest(const FleetMember& member);

// Heartbeats from `from` to `to`, of which only the lowest bits are known: negative for an earlier
// one. Right for less than 32,768 heartbeats, over two hours.
std::int16_t HeartbeatsBetween(std::uint64_t from, std::uint16_t to);

// Bits of a dotted IPv4 address, the first number highest; 0 for any other text.
std::uint32_t AddressBits(const std::string& ip);
// The dotted address of such bits.
std::string AddressText(std::uint32_t bits);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_HEARTBEAT_H_
