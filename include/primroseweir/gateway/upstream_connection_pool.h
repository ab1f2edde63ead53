#ifndef PRIMROSEWEIR_GATEWAY_UPSTREAM_CONNECTION_POOL_H_
#define PRIMROSEWEIR_GATEWAY_UPSTREAM_CONNECTION_POOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

class BalancedUpstream;
class EventLoop;
class HttpClientStream;

// Idle connections to upstreams, newest first. Tells each upstream whether there is one to it.
class UpstreamConnectionPool {
 public:
  explicit UpstreamConnectionPool(EventLoop* loop);
  ~UpstreamConnectionPool();

  // An idle connection or a new one. `at_most_once` asks for one that was used a moment ago: a
  // connection that went silent or was closed meanwhile would lose the call.
  std::unique_ptr<HttpClientStream> Acquire(const std::shared_ptr<BalancedUpstream>& upstream,
                                            bool at_most_once, Instant now);
  // Gives back a connection; one that can't be used again is closed.
  void Return(const std::shared_ptr<BalancedUpstream>& upstream,
              std::unique_ptr<HttpClientStream> stream);
  // Closes the idle connections to an upstream.
  void CloseIdle(const UpstreamId& upstream);
  // Closes connections that ended or that the upstream is about to close.
  void CloseExpired(Instant now);

  // Idle time up to which a connection carries any call, without a word of the upstream.
  static constexpr Duration kMaxIdleTime = std::chrono::seconds(8);
  // Idle time up to which it carries a call that must run at most once.
  static constexpr Duration kMaxIdleTimeAtMostOnce = std::chrono::milliseconds(1500);
  // Margin before the time at which the upstream closes the connection.
  static constexpr Duration kCloseMargin = std::chrono::milliseconds(800);
  // Idle connections kept to one upstream.
  static constexpr std::size_t kMaxIdlePerUpstream = 6;

 private:
  using Streams = std::vector<std::unique_ptr<HttpClientStream>>;
  struct Entry {
    std::shared_ptr<BalancedUpstream> upstream;
    Streams streams;
  };

  EventLoop* const loop_;
  std::map<UpstreamId, Entry> idle_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_UPSTREAM_CONNECTION_POOL_H_
