#ifndef PRIMROSEWEIR_LOOP_HTTP_PORT_H_
#define PRIMROSEWEIR_LOOP_HTTP_PORT_H_

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/loop/next_turn.h"
#include "primroseweir/loop/timer.h"
#include "primroseweir/routes/caller_limits.h"

namespace primroseweir {

class EventLoop;
class HttpServerStream;
class RequestSink;
class TcpListener;
class TcpStream;

// An HTTP server port on an event loop. The sink receives complete requests, or the pieces of those
// whose body it streams. Before that, requests that exceed the limits or violate HTTP framing are
// rejected here with 400, 408, 413, 431, 501 or, when memory runs short, 503.
class HttpPort {
 public:
  // `sink` must outlive the port. `limits` is called for each use, since a new configuration may
  // change the limits; only the head size limit of a connection stays as it was at its start.
  HttpPort(EventLoop* loop, RequestSink* sink, std::function<CallerLimits()> limits);
  ~HttpPort();

  // Errors: Unavailable if the address cannot be bound.
  absl::Status Listen(const SocketAddress& address);
  SocketAddress address() const;

  // Makes each response that begins from now on the last on its connection. Connections on which no
  // request is under way or expected close at once.
  void Drain(Instant now);
  // Accepts the connections that the kernel has already established, then closes the listener.
  void StopAccepting();
  // Whether a request or response is under way, or the first request is expected, on any
  // connection.
  bool IsBusy(Instant now) const;

  std::size_t connection_count() const { return streams_.size(); }
  bool is_draining() const { return is_draining_; }
  CallerLimits limits() const { return limits_(); }
  EventLoop* loop() const { return loop_; }
  RequestSink* sink() const { return sink_; }

  // Destroys `stream`. Called by the stream itself when its connection has ended.
  void Remove(HttpServerStream* stream);

  // Lets `stream` parse the rest of its input in the next turn of the loop.
  void ContinueNextTurn(HttpServerStream* stream);

  // Adds `change`, which may be negative, to the bytes of requests that are held in memory on all
  // connections.
  void UpdateBufferedBytes(std::int64_t change) { buffered_bytes_ += change; }
  std::int64_t buffered_bytes() const { return buffered_bytes_; }
  // Whether peers make the process hold more memory than its budget, on all ports together.
  bool IsOverMemoryLimit() const;
  // Adds `change` to the bytes of responses that are held until their turn on their connection.
  void UpdateBytesAhead(std::int64_t change) { bytes_ahead_ += change; }
  // Whether further requests may be served ahead of their turn: responses that wait for their turn
  // hold at most kMaxBytesAhead.
  bool HasRoomAhead() const { return bytes_ahead_ <= kMaxBytesAhead && !IsOverMemoryLimit(); }
  // Connections closed at once because there were too many.
  std::uint64_t rejected_connections() const { return rejected_connections_; }

  // A twentieth of the memory of the smallest machine. Responses that arrive later may exceed it.
  static constexpr std::int64_t kMaxBytesAhead = std::int64_t{8} * 1024 * 1024;
  static constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(500);

 private:
  void AddConnection(std::unique_ptr<TcpStream> stream);
  void CheckAllTimeouts();
  void ContinueStreams();

  EventLoop* const loop_;
  RequestSink* const sink_;
  const std::function<CallerLimits()> limits_;
  std::unique_ptr<TcpListener> listener_;
  std::unordered_map<HttpServerStream*, std::unique_ptr<HttpServerStream>> streams_;
  bool is_draining_ = false;
  std::int64_t buffered_bytes_ = 0;
  std::int64_t bytes_ahead_ = 0;
  std::uint64_t rejected_connections_ = 0;
  // Streams whose input waits for the next turn of the loop.
  std::deque<HttpServerStream*> waiting_streams_;
  Timer timeout_check_timer_;
  NextTurn continue_turn_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_HTTP_PORT_H_
