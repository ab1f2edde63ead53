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

// A TCP connection on an event loop. Dead peers show within kDeadPeer through keep-alive probes and
// the limit on unacknowledged bytes. Destruction closes the connection.
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
  std::size_t pending() const;
  // Whether bytes have arrived that were not handed over yet.
  bool has_input() const;
  // Sends the end of the stream after all bytes.
  void ShutdownWrite();
  // Closes with a reset, so that the peer can't take what it got for complete.
  void Reset();

  void PauseReading();
  void ResumeReading();

  // Limits how long sent bytes may stay unacknowledged, and silence between keep-alive probes.
  static constexpr unsigned kDeadPeerMilliseconds = 3000;

 private:
  friend class TcpListener;
  struct Handle;

  explicit TcpStream(Handle* handle) : handle_(handle) {}
  static void StartReading(Handle* handle);
  void SetOptions();

  Handle* handle_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_TCP_STREAM_H_
