#ifndef PRIMROSEWEIR_LOOP_TCP_STREAM_H_
#define PRIMROSEWEIR_LOOP_TCP_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "primroseweir/base/socket_address.h"

namespace primroseweir {

class EventLoop;
class StreamHandler;
class TcpListener;

// A TCP connection on an event loop. Keep-alive probes and the timeout for unacknowledged bytes
// detect a dead peer within kUnackedTimeoutMilliseconds. Destruction closes the connection.
//
// The kernel applies that timeout also to a live peer that does not read, as in an upload that
// waits for a slot or a download whose caller pauses. A stream with more unacknowledged bytes than
// kMaxUnreadBytes therefore gets kStalledPeerTimeoutMilliseconds.
class TcpStream {
 public:
  // Starts connecting. Calls OnConnected or OnEnd(false) of `handler` afterwards, never before this
  // function returns.
  static std::unique_ptr<TcpStream> Connect(EventLoop* loop, const SocketAddress& address,
                                            StreamHandler* handler);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  // Sets the handler of a stream that a listener accepted, and starts reading.
  void Accept(StreamHandler* handler);

  // Sends bytes; those that the socket does not accept at once are queued. Failures are reported by
  // OnEnd(false).
  void Write(std::string data);
  // Returns how many bytes are queued in this process.
  std::size_t pending_bytes() const;
  // Returns how many bytes are allocated for those.
  std::size_t allocated_bytes() const;
  // Returns the peer's IPv4 address; 0 if it is not known.
  std::uint32_t peer_address() const;
  // Returns how many bytes the peer has not acknowledged: those queued in this process and those in
  // the socket.
  std::size_t unacked_bytes() const;
  // Whether received bytes wait in the socket that were not handed over yet.
  bool has_input() const;
  // Closes the sending side once all queued bytes are sent.
  void ShutdownWrite();
  // Makes destruction reset the connection, so that the peer cannot take what it received for
  // complete.
  void Reset();

  void PauseReading();
  void ResumeReading();

  // How long sent bytes may stay unacknowledged and keep-alive probes unanswered.
  static constexpr unsigned kUnackedTimeoutMilliseconds = 3000;
  // Longer than the pauses of streamed messages that the users of this class allow, which are ten
  // seconds at most.
  static constexpr unsigned kStalledPeerTimeoutMilliseconds = 15000;
  // Bytes that a peer's kernel accepts although the peer does not read: well below the initial
  // receive buffers of operating systems, 64 KiB and more.
  static constexpr std::size_t kMaxUnreadBytes = std::size_t{16} * 1024;

 private:
  friend class TcpListener;
  struct Handle;

  explicit TcpStream(Handle* handle) : handle_(handle) {}
  static void StartReading(Handle* handle);
  void SetOptions();
  void SetOption(int name, unsigned value);
  // Sets the timeout for unacknowledged bytes before `size` more bytes are written.
  void SetUnackedTimeout(std::size_t size);

  Handle* handle_;
  // Upper bound of the unacknowledged bytes; computed exactly whenever it exceeds kMaxUnreadBytes.
  std::size_t unacked_bytes_ = 0;
  bool allows_stall_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_TCP_STREAM_H_
