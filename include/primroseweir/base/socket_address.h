#ifndef PRIMROSEWEIR_BASE_SOCKET_ADDRESS_H_
#define PRIMROSEWEIR_BASE_SOCKET_ADDRESS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace primroseweir {

// IPv4 address and port.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  // Returns "ip:port".
  std::string ToString() const;

  friend bool operator==(const SocketAddress& a, const SocketAddress& b) {
    return a.ip == b.ip && a.port == b.port;
  }
  friend bool operator!=(const SocketAddress& a, const SocketAddress& b) { return !(a == b); }
  friend bool operator<(const SocketAddress& a, const SocketAddress& b) {
    return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
  }
};

// Parses "ip:port". Errors: InvalidArgument when the IP is not a dotted IPv4 address or the port is
// not a number from 0 to 65535.
absl::StatusOr<SocketAddress> ParseSocketAddress(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_SOCKET_ADDRESS_H_
