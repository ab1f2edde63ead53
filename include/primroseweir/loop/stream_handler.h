#ifndef PRIMROSEWEIR_LOOP_STREAM_HANDLER_H_
#define PRIMROSEWEIR_LOOP_STREAM_HANDLER_H_

#include <cstddef>

namespace primroseweir {

// Receives the events of a TcpStream. Each function may destroy the stream.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;

  // The connection of an outgoing stream is open.
  virtual void OnConnected() {}
  virtual void OnData(const char* data, std::size_t size) = 0;
  // The peer sent everything (`clean`), or the connection failed. Nothing follows.
  virtual void OnEnd(bool clean) = 0;
  // All bytes written so far left the process.
  virtual void OnDrained() {}
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_STREAM_HANDLER_H_
