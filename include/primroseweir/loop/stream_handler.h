#ifndef PRIMROSEWEIR_LOOP_STREAM_HANDLER_H_
#define PRIMROSEWEIR_LOOP_STREAM_HANDLER_H_

#include <cstddef>

namespace primroseweir {

// Receives the events of a TcpStream. Each function may destroy the stream.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;

  // Called when an outgoing connection is open.
  virtual void OnConnected() {}
  virtual void OnData(const char* data, std::size_t size) = 0;
  // Called instead of OnEnd(false) when the peer's machine refused the connection.
  virtual void OnRefused() { OnEnd(false); }
  // Called last, when the peer closed its sending side (`clean`) or the connection failed.
  virtual void OnEnd(bool clean) = 0;
  // Called when all queued bytes have left this process.
  virtual void OnWriteDrained() {}
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_STREAM_HANDLER_H_
