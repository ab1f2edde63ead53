#ifndef STANDINS_WIRE_SOCKET_H_
#define STANDINS_WIRE_SOCKET_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <string_view>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir::standins {

// A TCP connection with blocking calls that end at a deadline. Stand-ins use it instead of the
// module http, so that a fault in that module doesn't hide itself. One thread at a time, but for
// Shutdown.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // Errors: Unavailable, the port refused; DeadlineExceeded.
  static absl::StatusOr<Socket> Connect(const SocketAddress& to, Instant deadline);

  // Bytes read, 0 at the end of the stream. Errors: DeadlineExceeded; Unavailable, reset.
  absl::StatusOr<std::size_t> ReadSome(char* buffer, std::size_t size, Instant deadline);

  // Errors: DeadlineExceeded; Unavailable, reset.
  absl::Status WriteAll(std::string_view data, Instant deadline);

  // Waits until `until` or until the other end closes; true when it closed.
  bool WaitForPeerClose(Instant until) const;

  // Ends blocking calls of another thread.
  void Shutdown() const;
  // Closes with a reset instead of an orderly end.
  void Reset();
  void Close();

  bool open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }

 private:
  int descriptor_ = -1;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_SOCKET_H_
