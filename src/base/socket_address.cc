#include "primroseweir/base/socket_address.h"

#include <arpa/inet.h>

#include <charconv>

#include "primroseweir/base/error.h"

namespace primroseweir {

std::string SocketAddress::ToString() const { return ip + ":" + std::to_string(port); }

absl::StatusOr<SocketAddress> ParseSocketAddress(const std::string& text) {
  const auto make_error = [&text] {
    return MakeError(absl::StatusCode::kInvalidArgument, {"parse address", ""},
                     "\"" + text + "\" is not an IPv4 address and port such as 10.0.0.1:8080");
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return make_error();
  SocketAddress address;
  address.ip = text.substr(0, colon);
  in_addr unused_address;
  if (inet_pton(AF_INET, address.ip.c_str(), &unused_address) != 1) return make_error();
  const char* port_begin = text.data() + colon + 1;
  const char* port_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(port_begin, port_end, address.port);
  if (error != std::errc() || end != port_end || port_begin == port_end) return make_error();
  return address;
}

}  // namespace primroseweir
