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

// Larger than DatagramPacker::kMaxDatagramBytes, so that an oversized datagram is not truncated to
// a permitted size and the decoder rejects it.
constexpr std::size_t kReadBufferBytes = 2'048;

sockaddr_in ToSockaddr(const SocketAddress& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
  return native;
}

SocketAddress FromSockaddr(const sockaddr_in& native) {
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &native.sin_addr, text, sizeof(text));
  return {text, ntohs(native.sin_port)};
}

SocketAddress LocalAddressOf(int socket) {
  sockaddr_in native{};
  socklen_t length = sizeof(native);
  getsockname(socket, reinterpret_cast<sockaddr*>(&native), &length);
  return FromSockaddr(native);
}

// Returns the time since the kernel received the datagram, or 0 when there is no kernel timestamp.
Duration WaitTimeOf(msghdr* message) {
  for (cmsghdr* entry = CMSG_FIRSTHDR(message); entry != nullptr;
       entry = CMSG_NXTHDR(message, entry)) {
    if (entry->cmsg_level != SOL_SOCKET || entry->cmsg_type != SCM_TIMESTAMPNS) continue;
    timespec received{};
    std::memcpy(&received, CMSG_DATA(entry), sizeof(received));
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
        wake_event_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        local_address_(LocalAddressOf(socket_.getFd())) {
    const int enabled = 1;
    setsockopt(socket_.getFd(), SOL_SOCKET, SO_TIMESTAMPNS, &enabled, sizeof(enabled));
  }
  ~Implementation() { close(wake_event_); }

  const SocketAddress& local_address() const { return local_address_; }
  void SetSendFilter(SendFilter filter) { filter_ = std::move(filter); }

  bool Send(const SocketAddress& to, const std::string& bytes) {
    if (filter_ && !filter_(to)) return false;
    const sockaddr_in native = ToSockaddr(to);
    // cxxtools can only send to the source of the last received datagram, so sendto is called
    // directly.
    const ssize_t sent = sendto(socket_.getFd(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                                reinterpret_cast<const sockaddr*>(&native), sizeof(native));
    return sent == static_cast<ssize_t>(bytes.size());
  }

  void Wait(Duration timeout) {
    pollfd descriptors[] = {{socket_.getFd(), POLLIN, 0}, {wake_event_, POLLIN, 0}};
    // Rounded up, so that a wait of less than a millisecond does not become a busy loop.
    const std::int64_t milliseconds = std::max<std::int64_t>(0, ToMilliseconds(timeout) + 1);
    poll(descriptors, 2, static_cast<int>(milliseconds));
    eventfd_t ignored_count = 0;
    eventfd_read(wake_event_, &ignored_count);
  }

  void Wake() { eventfd_write(wake_event_, 1); }

  std::optional<Datagram> Receive() {
    char buffer[kReadBufferBytes];
    char control[CMSG_SPACE(sizeof(timespec))];
    sockaddr_in from{};
    iovec io_buffer{buffer, sizeof(buffer)};
    msghdr message{};
    message.msg_name = &from;
    message.msg_namelen = sizeof(from);
    message.msg_iov = &io_buffer;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof(control);
    const ssize_t length = recvmsg(socket_.getFd(), &message, MSG_DONTWAIT);
    if (length < 0) return std::nullopt;
    return Datagram{std::string(buffer, static_cast<std::size_t>(length)), FromSockaddr(from),
                    WaitTimeOf(&message)};
  }

 private:
  cxxtools::net::UdpReceiver socket_;
  const int wake_event_;
  const SocketAddress local_address_;
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

const SocketAddress& UdpTransport::local_address() const {
  return implementation_->local_address();
}

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
