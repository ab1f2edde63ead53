#ifndef PRIMROSEWEIR_HTTP_SOCKET_STREAM_H_
#define PRIMROSEWEIR_HTTP_SOCKET_STREAM_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/http/wait_hooks.h"

namespace cxxtools::net {
class TcpSocket;
}  // namespace cxxtools::net

namespace primroseweir {

// A connected TCP socket with deadlines. Used by one thread.
//
// Errors: Unavailable when the connection is closed or reset, DeadlineExceeded, and Cancelled when
// the peer of the watched socket closed its connection.
class SocketStream {
 public:
  // Takes ownership of a connected socket, makes it non-blocking and sets TCP_NODELAY.
  explicit SocketStream(std::unique_ptr<cxxtools::net::TcpSocket> socket);
  ~SocketStream();
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  // Opens a connection. The kernel drops it when the peer acknowledges nothing for 30 s.
  static absl::StatusOr<std::unique_ptr<SocketStream>> Connect(const SocketAddress& address,
                                                               Instant deadline);

  // Reads available input without blocking. Returns the number of bytes read, 0 at the end of the
  // input, or nullopt when no input is available.
  absl::StatusOr<std::optional<std::size_t>> Read(char* buffer, std::size_t size);

  // Sends all of `data`. Returns DeadlineExceeded when the socket accepts no byte for
  // `idle_timeout` or `deadline` passes while it accepts none.
  absl::Status Write(std::string_view data, Instant deadline, Duration idle_timeout);

  // Sets the hooks that Write calls around each wait for the peer.
  void SetWriteWaitHooks(WaitHooks hooks) { write_wait_hooks_ = std::move(hooks); }

  // Blocks until the socket is readable.
  absl::Status WaitReadable(Instant deadline) const;

  // Makes waits return Cancelled when the peer of the socket `descriptor` closes its connection; -1
  // turns this off.
  void set_watched_descriptor(int descriptor) { watched_descriptor_ = descriptor; }

  // Makes a Write that would block return Aborted when input has arrived: the peer responds early
  // and may not read the rest.
  void set_stop_on_input(bool stop) { stop_on_input_ = stop; }

  // Returns whether the peer has closed or reset its side of the connection.
  bool HasPeerClosed() const;
  // Returns whether bytes or the end of the input can be read.
  bool IsReadable() const;

  // Shuts down the sending direction.
  void ShutdownWrite();
  // Closes the connection with a reset, so that the peer can't take the bytes sent so far for a
  // complete message.
  void Reset();

  // Returns the IP address of the peer, or "" when the connection is closed.
  std::string peer_ip() const;

  int descriptor() const { return descriptor_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t bytes_received() const { return bytes_received_; }
  // Returns whether the last failed read or write found that the peer had reset the connection.
  bool was_reset() const { return was_reset_; }
  // Returns when bytes were last received, initially the time of construction.
  Instant last_received() const { return last_received_; }

 private:
  absl::Status WaitWritable(Instant deadline) const;

  std::unique_ptr<cxxtools::net::TcpSocket> socket_;
  int descriptor_ = -1;
  int watched_descriptor_ = -1;
  WaitHooks write_wait_hooks_;
  bool stop_on_input_ = false;
  bool was_reset_ = false;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
  Instant last_received_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_SOCKET_STREAM_H_
