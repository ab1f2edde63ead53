#ifndef PRIMROSEWEIR_LIMITS_CONNECTION_SHARE_H_
#define PRIMROSEWEIR_LIMITS_CONNECTION_SHARE_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Connections that one seat may hold to one upstream (design 7.3). The limits of all seats add up
// to the upstream's limit, whoever is alive. Safe for many threads; takes no lock unless
// connections were given up lately.
class ConnectionShare {
 public:
  // `key` names the upstream, `connections` is its limit over the whole fleet, `seats` at least 1.
  ConnectionShare(const std::string& key, Seat seat, std::uint64_t seats,
                  std::uint32_t connections);

  // The list changed the upstream's limit. Connections above the new limit are not closed.
  void SetConnections(std::uint32_t connections);

  // Counts one more connection; false at the limit. Call before connecting.
  bool TryOpen(Instant now);

  // A connection that TryOpen counted is closed on both sides, or was refused.
  void Release();

  // A connection that TryOpen counted was given up as silent. The upstream may still hold it, so
  // that it stays counted for kUnresponsiveHoldTime.
  void ReleaseUnresponsive(Instant now);

  std::uint32_t limit() const { return limit_.load(std::memory_order_relaxed); }

  // Connections that count against the limit.
  std::uint32_t open_count(Instant now);

  static constexpr Duration kUnresponsiveHoldTime = std::chrono::seconds(60);

 private:
  void ReleaseExpired(Instant now);

  const std::uint64_t rank_;
  const std::uint64_t seats_;
  std::atomic<std::uint32_t> limit_;
  std::atomic<std::uint32_t> open_count_{0};
  std::atomic<std::uint32_t> unresponsive_{0};
  std::mutex mutex_;
  std::deque<Instant> unresponsive_since_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_CONNECTION_SHARE_H_
