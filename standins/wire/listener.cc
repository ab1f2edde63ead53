#include "wire/listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "primroseweir/base/error.h"

namespace primroseweir::standins {
namespace {

constexpr int kBacklog = 1024;

absl::Status ListenError(const char* step, const SocketAddress& address) {
  return MakeError(absl::StatusCode::kUnavailable, {step, address.ToString()},
                   std::strerror(errno));
}

}  // namespace

absl::StatusOr<Listener> Listener::Open(const SocketAddress& address) {
  Listener listener;
  listener.socket_ = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int descriptor = listener.socket_.descriptor();
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &bound.sin_addr);
  socklen_t size = sizeof(bound);
  auto* generic = reinterpret_cast<sockaddr*>(&bound);
  if (::bind(descriptor, generic, size) != 0) return ListenError("bind", address);
  if (::listen(descriptor, kBacklog) != 0) return ListenError("listen", address);
  getsockname(descriptor, generic, &size);
  listener.address_ = {address.ip, ntohs(bound.sin_port)};
  return listener;
}

absl::StatusOr<Socket> Listener::Accept() {
  while (true) {
    Socket socket(::accept4(socket_.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!socket.is_open()) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      return ListenError("accept", address_);
    }
    const int on = 1;
    setsockopt(socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
  }
}

}  // namespace primroseweir::standins
