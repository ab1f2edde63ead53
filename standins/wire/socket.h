#ifndef STANDINS_WIRE_SOCKET_H_
#define STANDINS_WIRE_SOCKET_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <string_view>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir::standins {

// A TCP connection with blocking calls that return at a deadline. Stand-ins use it instead of the
// http module under test: with the same code at both ends, a fault could cancel itself out. Only
// Shutdown may be called while another thread uses the socket.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Connects to `to`. Errors: Unavailable, such as a refused connection; DeadlineExceeded.
  static absl::StatusOr<Socket> Connect(const SocketAddress& to, Instant deadline);

  // Reads up to `size` bytes and returns their number; 0 at the end of the stream. Errors:
  // DeadlineExceeded; Unavailable, the connection was reset.
  absl::StatusOr<std::size_t> ReadSome(char* buffer, std::size_t size, Instant deadline);

  // Writes all of `data`. Errors: DeadlineExceeded; Unavailable, the connection was reset.
  absl::Status WriteAll(std::string_view data, Instant deadline);

  // Waits until the peer closes or resets the connection; returns false if `until` passes first.
  bool WaitForPeerClose(Instant until) const;

  // Shuts down both directions, so that blocking calls of other threads return.
  void Shutdown() const;
  // Closes the connection with a TCP reset.
  void Reset();
  void Close();

  bool is_open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }

 private:
  int descriptor_ = -1;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_SOCKET_H_
