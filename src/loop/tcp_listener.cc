#include "primroseweir/loop/tcp_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <array>
#include <cerrno>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/tcp_stream.h"
#include "stream_handle.h"

namespace primroseweir {

// Lives until libuv has closed the handle.
struct TcpListener::Handle {
  uv_tcp_t uv{};
  OnAccept on_accept;

  static void Accept(uv_stream_t* server, int status) {
    auto* self = static_cast<Handle*>(server->data);
    if (status != 0) {
      return;
    }
    auto* handle = new TcpStream::Handle;
    uv_tcp_init(server->loop, &handle->uv);
    handle->uv.data = handle;
    std::unique_ptr<TcpStream> stream(new TcpStream(handle));
    if (uv_accept(server, handle->stream()) == 0 && self->on_accept) {
      self->on_accept(std::move(stream));
    }
  }
};

TcpListener::TcpListener(EventLoop* loop) : handle_(new Handle) {
  uv_tcp_init(loop->uv(), &handle_->uv);
  handle_->uv.data = handle_;
}

TcpListener::~TcpListener() {
  handle_->on_accept = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle_->uv),
           [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); });
}

absl::Status TcpListener::Listen(const SocketAddress& address, OnAccept on_accept) {
  handle_->on_accept = std::move(on_accept);
  sockaddr_in local{};
  uv_ip4_addr(address.ip.c_str(), address.port, &local);
  int status = uv_tcp_bind(&handle_->uv, reinterpret_cast<const sockaddr*>(&local), 0);
  if (status == 0) {
    status = uv_listen(reinterpret_cast<uv_stream_t*>(&handle_->uv), kBacklog, &Handle::Accept);
  }
  if (status != 0) {
    return MakeError(absl::StatusCode::kUnavailable, {"listen", address.ToString()},
                     uv_strerror(status));
  }
  return absl::OkStatus();
}

void TcpListener::AcceptPending() {
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(&handle_->uv), &descriptor) != 0) {
    return;
  }
  for (;;) {
    const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0 && (errno == EINTR || errno == ECONNABORTED || errno == EPROTO)) {
      // That connection failed before it was accepted; others may be pending behind it.
      continue;
    }
    if (accepted < 0) {
      // The usual reason is that no further connection is pending. Without a free descriptor, the
      // others are refused when the listener closes.
      return;
    }
    auto* handle = new TcpStream::Handle;
    uv_tcp_init(handle_->uv.loop, &handle->uv);
    handle->uv.data = handle;
    std::unique_ptr<TcpStream> stream(new TcpStream(handle));
    if (uv_tcp_open(&handle->uv, accepted) != 0) {
      close(accepted);
    } else if (handle_->on_accept) {
      handle_->on_accept(std::move(stream));
    }
  }
}

SocketAddress TcpListener::address() const {
  sockaddr_in local{};
  int size = sizeof local;
  uv_tcp_getsockname(&handle_->uv, reinterpret_cast<sockaddr*>(&local), &size);
  std::array<char, INET_ADDRSTRLEN> text{};
  uv_ip4_name(&local, text.data(), text.size());
  return {text.data(), ntohs(local.sin_port)};
}

}  // namespace primroseweir
