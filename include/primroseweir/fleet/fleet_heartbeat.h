#ifndef PRIMROSEWEIR_FLEET_FLEET_HEARTBEAT_H_
#define PRIMROSEWEIR_FLEET_FLEET_HEARTBEAT_H_

#include <cstdint>
#include <string>

#include "primroseweir/fleet/fleet_member.h"

namespace primroseweir {

// Heartbeat of one instance in eight bytes, which shows that the instance is live. Instances
// exchange the heartbeats of all others many times a second, and a whole FleetMember takes about 60
// bytes. A receiver that lacks the record with that digest requests it.
struct FleetHeartbeat {
  // IPv4 address; identifies the instance.
  std::uint32_t address = 0;
  // RecordDigest of the record that the sender knows.
  std::uint16_t record_digest = 0;
  // Lowest 16 bits of FleetMember::heartbeat.
  std::uint16_t heartbeat = 0;

  friend bool operator==(const FleetHeartbeat& a, const FleetHeartbeat& b) {
    return a.address == b.address && a.record_digest == b.record_digest &&
           a.heartbeat == b.heartbeat;
  }
};

// Returns a digest of a record without its heartbeat and its published revision. Two records of one
// instance that differ in anything else, such as the incarnation, have the same digest with a
// probability of 1 in 65,536.
std::uint16_t RecordDigest(const FleetMember& member);

// Returns the number of heartbeats from `from` to `to`, of which only the lowest bits are known;
// negative if `to` is the earlier one. Correct for less than 32,768 heartbeats, which take over two
// hours.
std::int16_t HeartbeatsBetween(std::uint64_t from, std::uint16_t to);

// Returns a dotted IPv4 address as a number, with its first part in the highest byte; 0 for any
// other text.
std::uint32_t AddressBits(const std::string& ip);
// Returns the dotted form of an address from AddressBits.
std::string AddressText(std::uint32_t bits);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_HEARTBEAT_H_
