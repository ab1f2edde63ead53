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
#include "primroseweir/gateway/connection_reuse.h"

namespace primroseweir {

class BalancedUpstream;
class EventLoop;
class HttpClientStream;

// Pool of idle connections to upstreams; the most recently used one is taken first. Acquire, Return
// and CloseExpired set BalancedUpstream::is_connected().
class UpstreamConnectionPool {
 public:
  explicit UpstreamConnectionPool(EventLoop* loop);
  ~UpstreamConnectionPool();

  // Returns an idle connection that `reuse` allows, or a new one if there is none.
  std::unique_ptr<HttpClientStream> Acquire(const std::shared_ptr<BalancedUpstream>& upstream,
                                            ConnectionReuse reuse, Instant now);
  // Returns a connection to the pool, or closes it if it is not reusable, its upstream leaves or
  // the pool is full.
  void Return(const std::shared_ptr<BalancedUpstream>& upstream,
              std::unique_ptr<HttpClientStream> stream);
  // Closes all idle connections to a misdirected or leaving upstream. Leaves
  // BalancedUpstream::is_connected() as it is, since such an upstream gets no calls.
  void CloseIdle(const UpstreamId& upstream);
  // Closes idle connections that are broken or that the upstream is about to close.
  void CloseExpired(Instant now);

  // Maximum idle time of a connection for which the upstream stated no keep-alive time-out.
  static constexpr Duration kMaxIdleTime = std::chrono::seconds(8);
  // Maximum idle time of a connection for ConnectionReuse::kRecentlyUsed.
  static constexpr Duration kMaxRecentIdleTime = std::chrono::milliseconds(1500);
  // Time by which the pool closes a connection before the upstream's keep-alive time-out.
  static constexpr Duration kCloseMargin = std::chrono::milliseconds(800);
  // Maximum number of idle connections to one upstream.
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
