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

// Limits the connections that one seat holds to one upstream. The limits of all seats add up to the
// upstream's limit, independent of which seats are alive. Thread-safe; takes a lock only while
// unresponsive connections are still counted.
class ConnectionShare {
 public:
  // `upstream_key` identifies the upstream and ranks the seats that receive one connection more
  // when the division has a remainder. `connections` is the upstream's limit over the whole fleet,
  // `seat_count` at least 1.
  ConnectionShare(const std::string& upstream_key, Seat seat, std::uint64_t seat_count,
                  std::uint32_t connections);

  // Applies a changed limit of the upstream. Connections above the new limit are not closed.
  void SetConnections(std::uint32_t connections);

  // Counts one more connection. Returns false at the limit. To be called before connecting.
  bool TryOpen(Instant now);

  // Stops counting a connection that TryOpen counted and that both sides closed or that was
  // refused.
  void Release();

  // Releases an unresponsive connection that TryOpen counted. It stays counted for
  // kUnresponsiveHoldTime, since the upstream may still hold it open.
  void ReleaseUnresponsive(Instant now);

  std::uint32_t limit() const { return limit_.load(std::memory_order_relaxed); }

  // Returns the connections that count against the limit.
  std::uint32_t open_count(Instant now);

  static constexpr Duration kUnresponsiveHoldTime = std::chrono::seconds(60);

 private:
  void ReleaseExpired(Instant now);

  const std::uint64_t rank_;
  const std::uint64_t seat_count_;
  std::atomic<std::uint32_t> limit_;
  std::atomic<std::uint32_t> open_count_{0};
  std::atomic<std::uint32_t> unresponsive_count_{0};
  std::mutex mutex_;
  std::deque<Instant> unresponsive_since_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_CONNECTION_SHARE_H_
