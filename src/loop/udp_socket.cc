#include "primroseweir/loop/udp_socket.h"

#include <netinet/in.h>
#include <uv.h>

#include <array>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/loop/event_loop.h"

namespace primroseweir {
namespace {

constexpr std::size_t kMaxDatagramBytes = std::size_t{64} * 1024;

void Allocate(uv_handle_t* /*handle*/, std::size_t /*suggested*/, uv_buf_t* buffer) {
  static std::array<char, kMaxDatagramBytes> storage;
  *buffer = uv_buf_init(storage.data(), storage.size());
}

}  // namespace

// Lives until libuv has closed the handle.
struct UdpSocket::Handle {
  uv_udp_t uv{};
  OnDatagram on_datagram;

  static void Receive(uv_udp_t* socket, ssize_t count, const uv_buf_t* buffer,
                      const sockaddr* sender, unsigned /*flags*/) {
    auto* self = static_cast<Handle*>(socket->data);
    if (count <= 0 || sender == nullptr || !self->on_datagram) {
      return;
    }
    std::array<char, INET_ADDRSTRLEN> ip{};
    uv_ip4_name(reinterpret_cast<const sockaddr_in*>(sender), ip.data(), ip.size());
    self->on_datagram(ip.data(), {buffer->base, static_cast<std::size_t>(count)});
  }
};

UdpSocket::UdpSocket(EventLoop* loop) : handle_(new Handle) {
  uv_udp_init(loop->uv(), &handle_->uv);
  handle_->uv.data = handle_;
}

UdpSocket::~UdpSocket() {
  handle_->on_datagram = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->uv),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

absl::Status UdpSocket::Bind(const SocketAddress& address, OnDatagram on_datagram) {
  handle_->on_datagram = std::move(on_datagram);
  sockaddr_in local{};
  uv_ip4_addr(address.ip.c_str(), address.port, &local);
  int status = uv_udp_bind(&handle_->uv, reinterpret_cast<const sockaddr*>(&local), 0);
  if (status == 0) {
    status = uv_udp_recv_start(&handle_->uv, &Allocate, &Handle::Receive);
  }
  if (status != 0) {
    return MakeError(absl::StatusCode::kUnavailable, {"bind", address.ToString()},
                     uv_strerror(status));
  }
  return absl::OkStatus();
}

void UdpSocket::Send(const SocketAddress& target, const std::string& data) {
  sockaddr_in address{};
  uv_ip4_addr(target.ip.c_str(), target.port, &address);
  auto buffer = uv_buf_init(const_cast<char*>(data.data()), static_cast<unsigned>(data.size()));
  // Errors are ignored: a datagram that cannot be sent now counts as lost in transit, and the next
  // one replaces it.
  uv_udp_try_send(&handle_->uv, &buffer, 1, reinterpret_cast<const sockaddr*>(&address));
}

}  // namespace primroseweir
