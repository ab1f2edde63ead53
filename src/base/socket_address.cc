#include "primroseweir/base/socket_address.h"

#include <arpa/inet.h>

#include <charconv>

#include "primroseweir/base/error.h"

namespace primroseweir {

std::string SocketAddress::ToString() const { return ip + ":" + std::to_string(port); }

absl::StatusOr<SocketAddress> ParseSocketAddress(const std::string& text) {
  const auto invalid = [&text] {
    return MakeError(absl::StatusCode::kInvalidArgument, {"parse address", ""},
                     "\"" + text + "\" is not an IPv4 address and port such as 10.0.0.1:8080");
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return invalid();
  SocketAddress address;
  address.ip = text.substr(0, colon);
  in_addr ignored;
  if (inet_pton(AF_INET, address.ip.c_str(), &ignored) != 1) return invalid();
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, address.port);
  if (error != std::errc() || end != last || first == last) return invalid();
  return address;
}

}  // namespace primroseweir
