#include "primroseweir/loop/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <uv.h>

#include <array>
#include <utility>

#include "primroseweir/base/compact_append.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/stream_handler.h"
#include "stream_handle.h"

namespace primroseweir {
namespace {

constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kMaxKeepAliveProbes = 2;
constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;

// Size of a read when memory is short, and when peers hold more than the budget. A thousand
// connections that are ready in the same turn would otherwise bring 64 MB before any can be closed.
constexpr std::size_t kShortReadBytes = std::size_t{16} * 1024;
constexpr std::size_t kMinReadBytes = std::size_t{2} * 1024;

// Provides one read buffer for all streams: libuv hands over each piece before it reads the next.
void Allocate(uv_handle_t* handle, std::size_t /*suggested*/, uv_buf_t* buffer) {
  static std::array<char, kReadBufferBytes> storage;
  const auto& memory = static_cast<EventLoop*>(handle->loop->data)->connections().memory();
  const auto size = memory.is_over()    ? kMinReadBytes
                    : memory.is_short() ? kShortReadBytes
                                        : storage.size();
  *buffer = uv_buf_init(storage.data(), static_cast<unsigned>(size));
}

struct PendingWrite {
  uv_write_t request{};
  std::string data;
};

// Returns whether the peer closed the connection rather than reset it. libuv reports the end of the
// stream also when a reset arrives together with the last bytes, but the socket still distinguishes
// the two. A response that ends with its connection is complete only after a regular close.
bool HasEndedCleanly(uv_stream_t* stream) {
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(stream), &descriptor) != 0) {
    return false;
  }
  char byte = 0;
  return recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace

void TcpStream::Handle::NotifyEnd(bool clean) {
  uv_read_stop(stream());
  if (auto* old_handler = std::exchange(handler, nullptr)) {
    old_handler->OnEnd(clean);
  }
}

std::unique_ptr<TcpStream> TcpStream::Connect(EventLoop* loop, const SocketAddress& address,
                                              StreamHandler* handler) {
  auto* handle = new Handle;
  uv_tcp_init_ex(loop->uv(), &handle->uv, AF_INET);
  handle->uv.data = handle;
  handle->handler = handler;
  std::unique_ptr<TcpStream> stream(new TcpStream(handle));
  stream->SetOptions();
  sockaddr_in target{};
  uv_ip4_addr(address.ip.c_str(), address.port, &target);
  handle->connect.data = handle;
  uv_tcp_connect(&handle->connect, &handle->uv, reinterpret_cast<const sockaddr*>(&target),
                 [](uv_connect_t* request, int status) {
                   auto* self = static_cast<Handle*>(request->data);
                   if (self->handler == nullptr) {
                     return;
                   }
                   if (status == UV_ECONNREFUSED) {
                     std::exchange(self->handler, nullptr)->OnRefused();
                     return;
                   }
                   if (status != 0) {
                     self->NotifyEnd(false);
                     return;
                   }
                   // Reading starts first: OnConnected may destroy the stream, which stops it.
                   TcpStream::StartReading(self);
                   self->handler->OnConnected();
                 });
  return stream;
}

TcpStream::~TcpStream() {
  handle_->handler = nullptr;
  const auto delete_handle = [](uv_handle_t* handle) { delete static_cast<Handle*>(handle->data); };
  if (handle_->close_with_reset && uv_tcp_close_reset(&handle_->uv, delete_handle) == 0) {
    return;
  }
  uv_os_fd_t descriptor = -1;
  if (handle_->close_with_reset && uv_fileno(handle_->handle(), &descriptor) == 0) {
    // libuv refuses to reset a connection whose sending side is being closed.
    const linger reset_on_close{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  }
  uv_close(handle_->handle(), delete_handle);
}

void TcpStream::Accept(StreamHandler* handler) {
  handle_->handler = handler;
  SetOptions();
  StartReading(handle_);
}

void TcpStream::StartReading(Handle* handle) {
  uv_read_start(handle->stream(), &Allocate,
                [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
                  auto* self = static_cast<Handle*>(stream->data);
                  if (self->handler == nullptr || count == 0) {
                    return;
                  }
                  if (count < 0) {
                    self->NotifyEnd(count == UV_EOF && HasEndedCleanly(stream));
                    return;
                  }
                  self->handler->OnData(buffer->base, static_cast<std::size_t>(count));
                });
}

void TcpStream::Write(std::string data) {
  if (data.empty() || handle_->handler == nullptr) {
    return;
  }
  SetUnackedTimeout(data.size());
  if (handle_->is_writing) {
    if (handle_->backlog.empty()) {
      handle_->backlog = std::move(data);
    } else {
      AppendCompactly(&handle_->backlog, data);
    }
    return;
  }
  auto buffer = uv_buf_init(data.data(), static_cast<unsigned>(data.size()));
  const int sent = uv_try_write(handle_->stream(), &buffer, 1);
  if (sent == static_cast<int>(data.size())) {
    return;
  }
  // Errors other than a full socket buffer recur at the queued write, which reports them.
  handle_->StartWrite(std::move(data), sent > 0 ? static_cast<std::size_t>(sent) : 0);
}

void TcpStream::Handle::StartWrite(std::string data, std::size_t offset) {
  auto* pending_write = new PendingWrite;
  pending_write->data = std::move(data);
  pending_write->request.data = pending_write;
  is_writing = true;
  writing_bytes = AllocatedBytes(pending_write->data);
  auto buffer = uv_buf_init(pending_write->data.data() + offset,
                            static_cast<unsigned>(pending_write->data.size() - offset));
  uv_write(&pending_write->request, stream(), &buffer, 1, [](uv_write_t* request, int status) {
    const std::unique_ptr<PendingWrite> done(static_cast<PendingWrite*>(request->data));
    auto* self = static_cast<Handle*>(request->handle->data);
    self->is_writing = false;
    self->writing_bytes = 0;
    if (self->handler == nullptr) {
      return;
    }
    if (status != 0) {
      self->NotifyEnd(false);
    } else if (!self->backlog.empty()) {
      self->StartWrite(std::exchange(self->backlog, std::string()), 0);
      if (std::exchange(self->shuts_down, false)) {
        self->StartShutdown();
      }
    } else {
      self->handler->OnWriteDrained();
    }
  });
}

std::size_t TcpStream::pending_bytes() const {
  return uv_stream_get_write_queue_size(handle_->stream()) + handle_->backlog.size();
}

std::size_t TcpStream::allocated_bytes() const {
  return handle_->writing_bytes + AllocatedBytes(handle_->backlog);
}

std::size_t TcpStream::unacked_bytes() const {
  uv_os_fd_t descriptor = -1;
  int send_queue_bytes = 0;
  if (uv_fileno(handle_->handle(), &descriptor) != 0 ||
      ioctl(descriptor, SIOCOUTQ, &send_queue_bytes) != 0) {
    // Not connected yet, or the kernel does not report its queue: the bytes that left this process
    // count as acknowledged.
    send_queue_bytes = 0;
  }
  return static_cast<std::size_t>(send_queue_bytes) + pending_bytes();
}

bool TcpStream::has_input() const {
  uv_os_fd_t descriptor = -1;
  char byte = 0;
  return uv_fileno(handle_->handle(), &descriptor) == 0 &&
         recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void TcpStream::ShutdownWrite() {
  if (handle_->backlog.empty()) {
    handle_->StartShutdown();
  } else {
    handle_->shuts_down = true;
  }
}

void TcpStream::Handle::StartShutdown() {
  auto* request = new uv_shutdown_t;
  const auto delete_request = [](uv_shutdown_t* finished, int /*status*/) { delete finished; };
  if (uv_shutdown(request, stream(), delete_request) != 0) {
    delete request;
  }
}

void TcpStream::Reset() { handle_->close_with_reset = true; }

void TcpStream::PauseReading() { uv_read_stop(handle_->stream()); }

void TcpStream::ResumeReading() {
  if (handle_->handler != nullptr) {
    StartReading(handle_);
  }
}

std::uint32_t TcpStream::peer_address() const {
  sockaddr_in peer{};
  int size = sizeof peer;
  return uv_tcp_getpeername(&handle_->uv, reinterpret_cast<sockaddr*>(&peer), &size) == 0
             ? peer.sin_addr.s_addr
             : 0;
}

void TcpStream::SetOptions() {
  uv_tcp_nodelay(&handle_->uv, 1);
  uv_tcp_keepalive(&handle_->uv, 1, kKeepAliveIntervalSeconds);
  SetOption(TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(TCP_KEEPCNT, kMaxKeepAliveProbes);
  SetOption(TCP_USER_TIMEOUT, kUnackedTimeoutMilliseconds);
}

void TcpStream::SetOption(int name, unsigned value) {
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(handle_->handle(), &descriptor) == 0) {
    setsockopt(descriptor, IPPROTO_TCP, name, &value, sizeof value);
  }
}

void TcpStream::SetUnackedTimeout(std::size_t size) {
  unacked_bytes_ += size;
  if (!allows_stall_ && unacked_bytes_ <= kMaxUnreadBytes) {
    return;
  }
  unacked_bytes_ = unacked_bytes() + size;
  const bool allows_stall = unacked_bytes_ > kMaxUnreadBytes;
  if (std::exchange(allows_stall_, allows_stall) != allows_stall) {
    SetOption(TCP_USER_TIMEOUT,
              allows_stall ? kStalledPeerTimeoutMilliseconds : kUnackedTimeoutMilliseconds);
  }
}

}  // namespace primroseweir
