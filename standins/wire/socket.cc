#include "wire/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <utility>

#include "primroseweir/base/error.h"

namespace primroseweir::standins {
namespace {

absl::Status SystemError(const char* step) {
  return MakeError(absl::StatusCode::kUnavailable, {step, ""}, std::strerror(errno));
}

absl::Status DeadlineExceeded(const char* step) {
  return MakeError(absl::StatusCode::kDeadlineExceeded, {step, ""}, "deadline passed");
}

// Waits for `events` and returns those that occurred; 0 after the deadline, POLLERR if polling
// fails.
int PollUntil(int descriptor, int events, Instant deadline) {
  while (true) {
    const auto remaining = std::max(Duration::zero(), deadline - MonotonicNow());
    const auto nanoseconds =
        std::chrono::duration_cast<std::chrono::nanoseconds>(remaining).count();
    const timespec wait{static_cast<time_t>(nanoseconds / 1'000'000'000),
                        static_cast<decltype(timespec::tv_nsec)>(nanoseconds % 1'000'000'000)};
    pollfd poll_entry{descriptor, static_cast<decltype(pollfd::events)>(events), 0};
    const int ready = ppoll(&poll_entry, 1, &wait, nullptr);
    if (ready > 0) return poll_entry.revents;
    if (ready == 0) return 0;
    if (errno != EINTR) return POLLERR;
  }
}

}  // namespace

Socket::Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

absl::StatusOr<Socket> Socket::Connect(const SocketAddress& to, Instant deadline) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket.is_open()) return SystemError("socket");
  const int on = 1;
  setsockopt(socket.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.port);
  inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
  if (::connect(socket.descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    return socket;
  }
  if (errno != EINPROGRESS) return SystemError("connect");
  if (PollUntil(socket.descriptor_, POLLOUT, deadline) == 0) return DeadlineExceeded("connect");
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(socket.descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    errno = error;
    return SystemError("connect");
  }
  return socket;
}

absl::StatusOr<std::size_t> Socket::ReadSome(char* buffer, std::size_t size, Instant deadline) {
  while (true) {
    const auto received = ::recv(descriptor_, buffer, size, MSG_DONTWAIT);
    if (received >= 0) return static_cast<std::size_t>(received);
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) return SystemError("read");
    if (PollUntil(descriptor_, POLLIN, deadline) == 0) return DeadlineExceeded("read");
  }
}

absl::Status Socket::WriteAll(std::string_view data, Instant deadline) {
  while (!data.empty()) {
    const auto sent = ::send(descriptor_, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent >= 0) {
      data.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) return SystemError("write");
    if (PollUntil(descriptor_, POLLOUT, deadline) == 0) return DeadlineExceeded("write");
  }
  return absl::OkStatus();
}

bool Socket::WaitForPeerClose(Instant until) const {
  return PollUntil(descriptor_, POLLRDHUP, until) != 0;
}

void Socket::Shutdown() const {
  if (is_open()) ::shutdown(descriptor_, SHUT_RDWR);
}

void Socket::Reset() {
  if (!is_open()) return;
  const linger reset_on_close{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
  Close();
}

void Socket::Close() {
  if (is_open()) ::close(std::exchange(descriptor_, -1));
}

}  // namespace primroseweir::standins
