#ifndef PRIMROSEWEIR_PEER_DATAGRAM_H_
#define PRIMROSEWEIR_PEER_DATAGRAM_H_

#include <string>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// A received UDP datagram.
struct Datagram {
  std::string bytes;
  SocketAddress from;
  // Time that the datagram spent in the socket buffer before it was read. A long time means that
  // this process was paused and that the content is out of date.
  Duration waited{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DATAGRAM_H_
