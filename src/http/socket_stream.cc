#include "primroseweir/http/socket_stream.h"

#include <cxxtools/ioerror.h>
#include <cxxtools/net/tcpsocket.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <exception>
#include <string>
#include <utility>

#include "primroseweir/http/socket_wait.h"

namespace primroseweir {
namespace {

constexpr int kKeepAliveIdleSeconds = 10;
constexpr int kKeepAliveIntervalSeconds = 5;
constexpr int kMaxKeepAliveProbes = 2;
constexpr unsigned kUserTimeoutMilliseconds = 30'000;

void SetOption(int descriptor, int level, int name, int value) {
  setsockopt(descriptor, level, name, &value, sizeof value);
}

// Detects dead peers within 30 s, the default of MessageLimits::body_idle_timeout; the deadline of
// a call usually passes earlier.
void SetOptions(int descriptor) {
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kMaxKeepAliveProbes);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMilliseconds);
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

absl::Status LastSocketError(const char* step) {
  return absl::UnavailableError(std::string(step) + ": " + std::strerror(errno));
}

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

}  // namespace

SocketStream::SocketStream(std::unique_ptr<cxxtools::net::TcpSocket> socket)
    : socket_(std::move(socket)), descriptor_(socket_->getFd()), last_received_(MonotonicNow()) {
  SetOptions(descriptor_);
}

SocketStream::~SocketStream() = default;

absl::StatusOr<std::unique_ptr<SocketStream>> SocketStream::Connect(const SocketAddress& address,
                                                                    Instant deadline) {
  const auto remaining_ms = ToMilliseconds(deadline - MonotonicNow());
  if (remaining_ms <= 0) {
    return absl::DeadlineExceededError("deadline passed before the connect");
  }
  try {
    auto socket = std::make_unique<cxxtools::net::TcpSocket>();
    socket->setTimeout(cxxtools::Milliseconds(static_cast<double>(remaining_ms)));
    socket->connect(address.ip, address.port);
    return std::make_unique<SocketStream>(std::move(socket));
  } catch (const cxxtools::IOTimeout&) {
    return absl::DeadlineExceededError("connect to " + address.ToString() + ": timeout");
  } catch (const std::exception& error) {
    return absl::UnavailableError("connect to " + address.ToString() + ": " + error.what());
  }
}

absl::StatusOr<std::optional<std::size_t>> SocketStream::Read(char* buffer, std::size_t size) {
  auto count = recv(descriptor_, buffer, size, 0);
  if (count < 0) {
    if (WouldBlock()) {
      return std::optional<std::size_t>();
    }
    was_reset_ = errno == ECONNRESET;
    return LastSocketError("receive");
  }
  if (count > 0) {
    bytes_received_ += static_cast<std::uint64_t>(count);
    last_received_ = MonotonicNow();
  }
  return std::optional<std::size_t>(static_cast<std::size_t>(count));
}

absl::Status SocketStream::Write(std::string_view data, Instant deadline, Duration idle_timeout) {
  while (!data.empty()) {
    auto count = send(descriptor_, data.data(), data.size(), MSG_NOSIGNAL);
    if (count > 0) {
      bytes_sent_ += static_cast<std::uint64_t>(count);
      data.remove_prefix(static_cast<std::size_t>(count));
      continue;
    }
    if (!WouldBlock()) {
      was_reset_ = errno == ECONNRESET || errno == EPIPE;
      return LastSocketError("send");
    }
    const auto now = MonotonicNow();
    write_wait_hooks_.on_start(now);
    auto status = WaitWritable(std::min(deadline, now + idle_timeout));
    if (!write_wait_hooks_.on_end()) {
      return absl::UnavailableError("the connection was closed to make room for others");
    }
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status SocketStream::WaitReadable(Instant deadline) const {
  return WaitForAny({{descriptor_, POLLIN}}, watched_descriptor_, deadline);
}

absl::Status SocketStream::WaitWritable(Instant deadline) const {
  const int events = POLLOUT | (stop_on_input_ ? POLLIN : 0);
  auto status =
      WaitForAny({{descriptor_, static_cast<std::int16_t>(events)}}, watched_descriptor_, deadline);
  if (status.ok() && stop_on_input_ && IsReadable()) {
    return absl::AbortedError("the peer responded before it accepted the whole message");
  }
  return status;
}

bool SocketStream::HasPeerClosed() const {
  pollfd descriptor{descriptor_, POLLRDHUP, 0};
  return poll(&descriptor, 1, 0) > 0;
}

bool SocketStream::IsReadable() const {
  pollfd descriptor{descriptor_, POLLIN | POLLRDHUP, 0};
  return poll(&descriptor, 1, 0) > 0;
}

std::string SocketStream::peer_ip() const {
  try {
    return socket_->getPeerAddr();
  } catch (const std::exception&) {
    return std::string();
  }
}

void SocketStream::ShutdownWrite() { shutdown(descriptor_, SHUT_WR); }

void SocketStream::Reset() {
  const linger reset_on_close{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  socket_->close();
  descriptor_ = -1;
}

}  // namespace primroseweir
