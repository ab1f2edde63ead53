#ifndef PRIMROSEWEIR_LOOP_UDP_SOCKET_H_
#define PRIMROSEWEIR_LOOP_UDP_SOCKET_H_

#include <absl/status/status.h>

#include <functional>
#include <string>
#include <string_view>

#include "primroseweir/base/socket_address.h"

namespace primroseweir {

class EventLoop;

// Sends and receives datagrams on an event loop. Datagrams may be lost.
class UdpSocket {
 public:
  // Receives each datagram with the IP address of its sender.
  using OnDatagram = std::function<void(const std::string& ip, std::string_view data)>;

  explicit UdpSocket(EventLoop* loop);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Errors: Unavailable if the address cannot be bound.
  absl::Status Bind(const SocketAddress& address, OnDatagram on_datagram);
  // Sends the datagram at once, or drops it, for example when the socket's buffer is full.
  void Send(const SocketAddress& target, const std::string& data);

 private:
  struct Handle;
  Handle* handle_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_UDP_SOCKET_H_
