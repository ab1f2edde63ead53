#ifndef STANDINS_WIRE_LISTENER_H_
#define STANDINS_WIRE_LISTENER_H_

#include <absl/status/statusor.h>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "wire/socket.h"

namespace primroseweir::standins {

// A listening TCP socket.
class Listener {
 public:
  // Creates a listener that is not bound to a port.
  Listener() = default;

  // Binds to `address` and listens; port 0 selects a free port, which address() returns. Errors:
  // Unavailable, such as for an address that is in use.
  static absl::StatusOr<Listener> Open(const SocketAddress& address);

  // Waits for the next connection. Errors: Unavailable, such as after Shutdown.
  absl::StatusOr<Socket> Accept();

  void Shutdown() const { socket_.Shutdown(); }
  const SocketAddress& address() const { return address_; }

 private:
  Socket socket_;
  SocketAddress address_;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_LISTENER_H_
