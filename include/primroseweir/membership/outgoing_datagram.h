#ifndef PRIMROSEWEIR_MEMBERSHIP_OUTGOING_DATAGRAM_H_
#define PRIMROSEWEIR_MEMBERSHIP_OUTGOING_DATAGRAM_H_

#include <string>

#include "primroseweir/base/socket_address.h"

namespace primroseweir {

// A signed datagram and its destination.
struct OutgoingDatagram {
  SocketAddress to;
  std::string bytes;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_OUTGOING_DATAGRAM_H_
