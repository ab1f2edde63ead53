#ifndef PRIMROSEWEIR_LOOP_HTTP_PORT_H_
#define PRIMROSEWEIR_LOOP_HTTP_PORT_H_

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/loop/timer.h"
#include "primroseweir/routes/caller_limits.h"

namespace primroseweir {

class EventLoop;
class HttpServerStream;
class RequestSink;
class TcpListener;
class TcpStream;

// An HTTP server port on an event loop. Requests reach the sink whole; requests that break the
// limits or the framing are answered here (400, 408, 413, 431, 501).
class HttpPort {
 public:
  // `sink` outlives the port. `limits` is asked at each request, since a configuration may change
  // them.
  HttpPort(EventLoop* loop, RequestSink* sink, std::function<CallerLimits()> limits);
  ~HttpPort();

  // Errors: Unavailable, the address can't be bound.
  absl::Status Listen(const SocketAddress& address);
  SocketAddress address() const;

  // Answers from now on close their connection; connections on which no request is to be expected
  // close at once.
  void Drain(Instant now);
  // Accepts the connections that are open already, and no further one.
  void StopAccepting();
  // Whether a request or an answer is under way on any connection.
  bool busy(Instant now) const;

  std::size_t connections() const { return streams_.size(); }
  bool closing() const { return closing_; }
  CallerLimits limits() const { return limits_(); }
  EventLoop* loop() const { return loop_; }
  RequestSink* sink() const { return sink_; }

  // Called by a stream when it is done; destroys it.
  void Remove(HttpServerStream* stream);

  // Bytes of requests that are buffered on all connections; `change` may be negative.
  void UpdateBufferedBytes(std::int64_t change) { buffered_ += change; }
  // Whether requests in the middle hold more memory than they may together.
  bool IsOverMemoryLimit() const { return buffered_ > kMaxBufferedBytes; }
  std::int64_t buffered() const { return buffered_; }
  // Connections that were closed at once because of kMaxConnections.
  std::uint64_t rejected_connections() const { return rejected_connections_; }

  // Half of the descriptors that the smallest machines give; connections to upstreams need the
  // rest.
  static constexpr std::size_t kMaxConnections = 2000;
  // A fraction of the smallest machine's 160 MB.
  static constexpr std::int64_t kMaxBufferedBytes = std::int64_t{48} * 1024 * 1024;
  static constexpr Duration kSweepInterval = std::chrono::milliseconds(500);

 private:
  void AddConnection(std::unique_ptr<TcpStream> stream);
  void Sweep();

  EventLoop* const loop_;
  RequestSink* const sink_;
  const std::function<CallerLimits()> limits_;
  std::unique_ptr<TcpListener> listener_;
  std::unordered_map<HttpServerStream*, std::unique_ptr<HttpServerStream>> streams_;
  bool closing_ = false;
  std::int64_t buffered_ = 0;
  std::uint64_t rejected_connections_ = 0;
  Timer sweep_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_HTTP_PORT_H_
