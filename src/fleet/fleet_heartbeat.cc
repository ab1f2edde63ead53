#include "primroseweir/fleet/fleet_heartbeat.h"

#include <arpa/inet.h>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {

std::uint16_t RecordDigest(const FleetMember& member) {
  const auto& capacity = member.capacity;
  std::string state = member.data_centre.value();
  for (const std::uint64_t number :
       {member.incarnation.value(), std::uint64_t{member.leaving},
        std::uint64_t{member.reads_store}, std::uint64_t{capacity.millicores},
        std::uint64_t{capacity.link_kilobytes_per_second}, std::uint64_t{capacity.calls_per_second},
        std::uint64_t{capacity.kilobytes_per_second}}) {
    state += ' ' + std::to_string(number);
  }
  return static_cast<std::uint16_t>(StableHash(state));
}

std::int16_t HeartbeatsBetween(std::uint64_t from, std::uint16_t to) {
  return static_cast<std::int16_t>(
      static_cast<std::uint16_t>(to - static_cast<std::uint16_t>(from)));
}

std::uint32_t AddressBits(const std::string& ip) {
  in_addr address{};
  return inet_pton(AF_INET, ip.c_str(), &address) == 1 ? ntohl(address.s_addr) : 0;
}

std::string AddressText(std::uint32_t bits) {
  char text[INET_ADDRSTRLEN];
  const in_addr address{htonl(bits)};
  return inet_ntop(AF_INET, &address, text, sizeof text) == nullptr ? std::string() : text;
}

}  // namespace primroseweir
