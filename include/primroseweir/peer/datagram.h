#ifndef PRIMROSEWEIR_PEER_DATAGRAM_H_
#define PRIMROSEWEIR_PEER_DATAGRAM_H_

#include <string>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// One datagram received.
struct Datagram {
  std::string bytes;
  SocketAddress from;
  // Time that the datagram waited in the socket before it was read. It is long when this process
  // was paused, and then the content is no news.
  Duration waited{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DATAGRAM_H_
