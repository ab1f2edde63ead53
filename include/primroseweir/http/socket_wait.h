#ifndef PRIMROSEWEIR_HTTP_SOCKET_WAIT_H_
#define PRIMROSEWEIR_HTTP_SOCKET_WAIT_H_

#include <absl/status/status.h>

#include <cstdint>
#include <initializer_list>

#include "primroseweir/base/time.h"

namespace primroseweir {

// A socket and the poll(2) events to wait for. A negative descriptor is ignored.
struct SocketEvents {
  int descriptor = -1;
  std::int16_t events = 0;
};

// Blocks until one of the events occurs; a signal may end the wait early.
// Errors: DeadlineExceeded, Cancelled when the peer of the socket `watched` closed its connection
// (negative: none is watched), Unavailable when poll(2) fails.
absl::Status WaitForAny(std::initializer_list<SocketEvents> sockets, int watched, Instant deadline);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_SOCKET_WAIT_H_
