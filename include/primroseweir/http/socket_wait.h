#ifndef PRIMROSEWEIR_HTTP_SOCKET_WAIT_H_
#define PRIMROSEWEIR_HTTP_SOCKET_WAIT_H_

#include <absl/status/status.h>

#include <cstdint>
#include <initializer_list>

#include "primroseweir/base/time.h"

namespace primroseweir {

// A socket and the poll events to wait for. A descriptor below 0 is skipped.
struct SocketEvents {
  int descriptor = -1;
  std::int16_t events = 0;
};

// Waits until one of the events occurs.
// Errors: DeadlineExceeded; Cancelled, the peer of the socket `watched` closed its connection.
absl::Status WaitForAny(std::initializer_list<SocketEvents> sockets, int watched, Instant deadline);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_SOCKET_WAIT_H_
