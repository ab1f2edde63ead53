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

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace cxxtools::net {
class TcpSocket;
}  // namespace cxxtools::net

namespace primroseweir {

// A connected TCP socket with deadlines. Belongs to one thread.
//
// Errors: Unavailable, the connection is closed or reset; DeadlineExceeded; Cancelled, the watched
// socket's peer closed its connection.
class SocketStream {
 public:
  // Takes over a connected socket and turns off delayed sending.
  explicit SocketStream(std::unique_ptr<cxxtools::net::TcpSocket> socket);
  ~SocketStream();
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  // Opens a connection. The system gives up on it when the peer acknowledges nothing for 30 s.
  static absl::StatusOr<std::unique_ptr<SocketStream>> Connect(const SocketAddress& address,
                                                               Instant deadline);

  // Reads what has arrived: a count above 0, 0 at the end of the input, nothing when no byte is
  // there. Never waits.
  absl::StatusOr<std::optional<std::size_t>> Read(char* buffer, std::size_t size);

  // Sends everything. Each pause until the peer takes more is at most `progress` long.
  absl::Status Write(std::string_view data, Instant deadline, Duration idle_timeout);

  // Waits until the socket is readable.
  absl::Status WaitReadable(Instant deadline) const;

  // Waits end with Cancelled when the peer of the socket `descriptor` closes its connection; -1
  // ends the watching.
  void set_watched(int descriptor) { watched_ = descriptor; }

  // Writes that would block end with Aborted when input has arrived: the peer answers early and may
  // take no more.
  void set_stop_on_input(bool stop) { stop_on_input_ = stop; }

  // Whether the peer has closed or reset its side.
  bool PeerClosed() const;
  // Whether bytes or the end of the input wait to be read.
  bool Readable() const;

  // Ends the sending direction.
  void ShutdownWrite();
  // Closes with a reset, so that the peer can't take the bytes sent so far for a whole message.
  void Reset();

  // IP address of the peer; empty when the connection is gone.
  std::string peer_ip() const;

  int descriptor() const { return descriptor_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t bytes_received() const { return bytes_received_; }
  // Whether a read or write found that the peer had reset the connection.
  bool was_reset() const { return was_reset_; }
  // When bytes last arrived; the time of the connect before that.
  Instant last_received() const { return last_received_; }

 private:
  absl::Status WaitWritable(Instant deadline) const;

  std::unique_ptr<cxxtools::net::TcpSocket> socket_;
  int descriptor_ = -1;
  int watched_ = -1;
  bool stop_on_input_ = false;
  bool was_reset_ = false;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
  Instant last_received_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_SOCKET_STREAM_H_
