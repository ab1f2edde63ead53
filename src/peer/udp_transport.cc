#include "primroseweir/peer/udp_transport.h"

#include <arpa/inet.h>
#include <cxxtools/net/udp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <ctime>
#include <utility>

#include "primroseweir/base/error.h"

namespace primroseweir {
namespace {

// A datagram longer than DatagramPacker::kMaximumBytes is read so far that the decoder sees it is
// too long.
constexpr std::size_t kReadBytes = 2'048;

sockaddr_in ToSystemAddress(const SocketAddress& address) {
  sockaddr_in system{};
  system.sin_family = AF_INET;
  system.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &system.sin_addr);
  return system;
}

SocketAddress FromSystemAddress(const sockaddr_in& system) {
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &system.sin_addr, text, sizeof(text));
  return {text, ntohs(system.sin_port)};
}

SocketAddress LocalAddressOf(int socket) {
  sockaddr_in system{};
  socklen_t length = sizeof(system);
  getsockname(socket, reinterpret_cast<sockaddr*>(&system), &length);
  return FromSystemAddress(system);
}

// Time since the kernel received the datagram; 0 when the kernel did not note it.
Duration WaitedOf(msghdr* message) {
  for (cmsghdr* part = CMSG_FIRSTHDR(message); part != nullptr; part = CMSG_NXTHDR(message, part)) {
    if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_TIMESTAMPNS) continue;
    timespec received{};
    std::memcpy(&received, CMSG_DATA(part), sizeof(received));
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    const std::chrono::nanoseconds waited =
        std::chrono::seconds(now.tv_sec - received.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec - received.tv_nsec);
    return std::max<Duration>(Duration::zero(), waited);
  }
  return Duration::zero();
}

}  // namespace

class UdpTransport::Implementation {
 public:
  explicit Implementation(const SocketAddress& address)
      : socket_(address.ip, address.port),
        wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        local_(LocalAddressOf(socket_.getFd())) {
    const int on = 1;
    setsockopt(socket_.getFd(), SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof(on));
  }
  ~Implementation() { close(wake_); }

  const SocketAddress& local() const { return local_; }
  void SetSendFilter(SendFilter filter) { filter_ = std::move(filter); }

  bool Send(const SocketAddress& to, const std::string& bytes) {
    if (filter_ && !filter_(to)) return false;
    const sockaddr_in system = ToSystemAddress(to);
    // cxxtools sends to the last sender only, so the destination is given to the system directly.
    const ssize_t sent = sendto(socket_.getFd(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                                reinterpret_cast<const sockaddr*>(&system), sizeof(system));
    return sent == static_cast<ssize_t>(bytes.size());
  }

  void Wait(Duration timeout) {
    pollfd descriptors[] = {{socket_.getFd(), POLLIN, 0}, {wake_, POLLIN, 0}};
    // Rounded up, so that a wait of less than a millisecond doesn't become a busy loop.
    const std::int64_t milliseconds = std::max<std::int64_t>(0, ToMilliseconds(timeout) + 1);
    poll(descriptors, 2, static_cast<int>(milliseconds));
    eventfd_t ignored = 0;
    eventfd_read(wake_, &ignored);
  }

  void Wake() { eventfd_write(wake_, 1); }

  std::optional<Datagram> Receive() {
    char buffer[kReadBytes];
    char control[CMSG_SPACE(sizeof(timespec))];
    sockaddr_in from{};
    iovec part{buffer, sizeof(buffer)};
    msghdr message{};
    message.msg_name = &from;
    message.msg_namelen = sizeof(from);
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof(control);
    const ssize_t length = recvmsg(socket_.getFd(), &message, MSG_DONTWAIT);
    if (length < 0) return std::nullopt;
    return Datagram{std::string(buffer, static_cast<std::size_t>(length)), FromSystemAddress(from),
                    WaitedOf(&message)};
  }

 private:
  cxxtools::net::UdpReceiver socket_;
  const int wake_;
  const SocketAddress local_;
  SendFilter filter_;
};

absl::StatusOr<std::unique_ptr<UdpTransport>> UdpTransport::Bind(const SocketAddress& address) {
  try {
    return std::unique_ptr<UdpTransport>(
        new UdpTransport(std::make_unique<Implementation>(address)));
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kUnavailable, {"bind peer port", address.ToString()},
                     error.what());
  }
}

UdpTransport::UdpTransport(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

UdpTransport::~UdpTransport() = default;

const SocketAddress& UdpTransport::local_address() const { return implementation_->local(); }

bool UdpTransport::Send(const SocketAddress& to, const std::string& bytes) {
  return implementation_->Send(to, bytes);
}

void UdpTransport::Wait(Duration timeout) { implementation_->Wait(timeout); }

void UdpTransport::Wake() { implementation_->Wake(); }

std::optional<Datagram> UdpTransport::Receive() { return implementation_->Receive(); }

void UdpTransport::SetSendFilter(SendFilter filter) {
  implementation_->SetSendFilter(std::move(filter));
}

}  // namespace primroseweir
