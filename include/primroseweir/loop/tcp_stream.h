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

// A TCP connection on an event loop. Dead peers show within kUnackedTimeoutMilliseconds through
// keep-alive probes and the limit on unacknowledged bytes. Destruction closes the connection.
//
// The kernel applies that limit also to a live peer that does not read: an upload that waits for a
// slot, or a download whose caller pauses. A stream with more bytes under way than a peer surely
// takes unread therefore gets kStalledPeerTimeoutMilliseconds.
class TcpStream {
 public:
  // Starts to connect; the handler hears OnConnected or OnEnd(false), never before this returns.
  static std::unique_ptr<TcpStream> Connect(EventLoop* loop, const SocketAddress& address,
                                            StreamHandler* handler);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  // Of a stream that a listener accepted: sets the handler and starts to read.
  void Accept(StreamHandler* handler);

  // Sends bytes, now or when the peer takes them. Failures show as OnEnd(false).
  void Write(std::string data);
  // Bytes that the peer has not taken yet.
  std::size_t pending_bytes() const;
  // Whether bytes have arrived that were not handed over yet.
  bool has_input() const;
  // Sends the end of the stream after all bytes.
  void ShutdownWrite();
  // Closes with a reset, so that the peer can't take what it got for complete.
  void Reset();

  void PauseReading();
  void ResumeReading();

  // Limits how long sent bytes may stay unacknowledged, and silence between keep-alive probes.
  static constexpr unsigned kUnackedTimeoutMilliseconds = 3000;
  // Above the pauses of streamed messages that the callers of this class allow, ten seconds at
  // most.
  static constexpr unsigned kStalledPeerTimeoutMilliseconds = 15000;
  // Bytes that a peer's kernel accepts although the peer does not read: well below the receive
  // buffers that systems start with, 64 KiB and more.
  static constexpr std::size_t kMaxUnreadBytes = std::size_t{16} * 1024;

 private:
  friend class TcpListener;
  struct Handle;

  explicit TcpStream(Handle* handle) : handle_(handle) {}
  static void StartReading(Handle* handle);
  void SetOptions();
  void SetOption(int name, unsigned value);
  // Sets the limit on unacknowledged bytes before so many more are written.
  void SetUnackedTimeout(std::size_t size);

  Handle* handle_;
  // Bytes that may be unacknowledged: exact when it was last above kMaxUnreadBytes.
  std::size_t unacked_bytes_ = 0;
  bool allows_stall_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_TCP_STREAM_H_
