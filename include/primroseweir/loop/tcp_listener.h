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
  // Takes each accepted connection.
  using OnAccept = std::function<void(std::unique_ptr<TcpStream>)>;

  explicit TcpListener(EventLoop* loop);
  // Closes the port; accepted connections stay.
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Errors: Unavailable, the address can't be bound.
  absl::Status Listen(const SocketAddress& address, OnAccept on_accept);
  // The address with the port that was bound.
  // Accepts the connections that the system has opened already: those that are still there when the
  // listener is closed are reset, although their peers may have sent requests.
  void AcceptPending();
  SocketAddress address() const;

  static constexpr int kBacklog = 512;

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_TCP_LISTENER_H_
