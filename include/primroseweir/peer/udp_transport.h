#ifndef PRIMROSEWEIR_PEER_UDP_TRANSPORT_H_
#define PRIMROSEWEIR_PEER_UDP_TRANSPORT_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/peer/datagram.h"

namespace primroseweir {

// The UDP socket of the peer port. Send and Wake are safe for several threads; Wait and Receive
// belong to one thread.
class UdpTransport {
 public:
  // Tells whether a message to this address may leave. Tests cut instances off with it.
  using SendFilter = std::function<bool(const SocketAddress& to)>;

  // Binds `address`; port 0 takes a free port. Unavailable when the address can't be bound.
  static absl::StatusOr<std::unique_ptr<UdpTransport>> Bind(const SocketAddress& address);

  ~UdpTransport();

  const SocketAddress& local_address() const;

  // Sends without blocking. False when the filter or the system refused; a datagram may be lost
  // in any case.
  bool Send(const SocketAddress& to, const std::string& bytes);

  // Waits until a datagram can be read, Wake is called or `timeout` has passed.
  void Wait(Duration timeout);

  // Ends the present or next Wait.
  void Wake();

  // The next datagram, without blocking; nothing when none is there.
  std::optional<Datagram> Receive();

  // Set it before other threads use the transport.
  void SetSendFilter(SendFilter filter);

 private:
  class Implementation;
  explicit UdpTransport(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_UDP_TRANSPORT_H_
