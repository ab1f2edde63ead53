#ifndef PRIMROSEWEIR_LOOP_TCP_LISTENER_H_
#define PRIMROSEWEIR_LOOP_TCP_LISTENER_H_

#include <absl/status/status.h>

#include <functional>
#include <memory>

#include "primroseweir/base/socket_address.h"

namespace primroseweir {

class EventLoop;
class TcpStream;

// Accepts TCP connections on an event loop.
class TcpListener {
 public:
  // Receives each accepted connection.
  using OnAccept = std::function<void(std::unique_ptr<TcpStream>)>;

  explicit TcpListener(EventLoop* loop);
  // Closes the port; accepted connections stay open.
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Errors: Unavailable if the address cannot be bound.
  absl::Status Listen(const SocketAddress& address, OnAccept on_accept);
  // Accepts the connections that the kernel has already established. Those that are left when the
  // listener closes are reset, although their peers may have sent requests.
  void AcceptPending();
  // Returns the address with the port that was bound.
  SocketAddress address() const;

  static constexpr int kBacklog = 512;

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_TCP_LISTENER_H_
