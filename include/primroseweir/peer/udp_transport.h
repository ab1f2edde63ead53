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

// UDP socket of the peer port. Send and Wake are thread-safe; Wait and Receive must be called by a
// single thread.
class UdpTransport {
 public:
  // Returns whether a datagram to this address may be sent. Tests use it to simulate network
  // partitions.
  using SendFilter = std::function<bool(const SocketAddress& to)>;

  // Binds `address`; port 0 selects a free port. Returns Unavailable when the address cannot be
  // bound.
  static absl::StatusOr<std::unique_ptr<UdpTransport>> Bind(const SocketAddress& address);

  ~UdpTransport();

  const SocketAddress& local_address() const;

  // Sends without blocking. Returns false when the filter or the operating system rejected the
  // datagram. A datagram may be lost even when the result is true.
  bool Send(const SocketAddress& to, const std::string& bytes);

  // Waits until a datagram can be read, Wake is called or `timeout` has passed.
  void Wait(Duration timeout);

  // Makes the current Wait return, or the next one if none is in progress.
  void Wake();

  // Returns the next datagram, or nullopt when none is available. Does not block.
  std::optional<Datagram> Receive();

  // Must be called before other threads use the transport.
  void SetSendFilter(SendFilter filter);

 private:
  class Implementation;
  explicit UdpTransport(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_UDP_TRANSPORT_H_
