#ifndef STANDINS_WIRE_LISTENER_H_
#define STANDINS_WIRE_LISTENER_H_

#include <absl/status/statusor.h>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "wire/socket.h"

namespace primroseweir::standins {

// A listening TCP port.
class Listener {
 public:
  // Holds no port.
  Listener() = default;

  // Port 0 takes a free one; see address(). Errors: Unavailable, the address is in use.
  static absl::StatusOr<Listener> Open(const SocketAddress& address);

  // Errors: Unavailable once Shutdown was called.
  absl::StatusOr<Socket> Accept();

  void Shutdown() const { socket_.Shutdown(); }
  const SocketAddress& address() const { return address_; }

 private:
  Socket socket_;
  SocketAddress address_;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_LISTENER_H_
