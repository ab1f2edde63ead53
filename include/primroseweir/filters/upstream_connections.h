#ifndef PRIMROSEWEIR_FILTERS_UPSTREAM_CONNECTIONS_H_
#define PRIMROSEWEIR_FILTERS_UPSTREAM_CONNECTIONS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/limits/connection_share.h"

namespace primroseweir {

class ClientConnection;
struct UpstreamRecord;

// Holds the connections of this instance to one upstream, limited to the fixed share of the
// instance's seat. Thread-safe; no function takes a lock unless unresponsive connections still
// count against the share. Complexity: linear in the share.
class UpstreamConnections {
 public:
  // The share is derived from the record's id and connection limit, and from this instance's `seat`
  // out of `seat_count`.
  UpstreamConnections(const UpstreamRecord& record, Seat seat, std::uint64_t seat_count);
  ~UpstreamConnections();
  UpstreamConnections(const UpstreamConnections&) = delete;
  UpstreamConnections& operator=(const UpstreamConnections&) = delete;

  // Returns an idle connection that still appears open, or null when there is none. With
  // `recently_used`, only a connection that received bytes within kMaxRecentUseAge qualifies.
  std::unique_ptr<ClientConnection> AcquireIdle(bool recently_used, Instant now);
  // Closes one idle connection but keeps it counted against the share, so that the calling code can
  // open a new one in its stead; false when none is idle.
  bool EvictIdle();
  // Counts a new connection against the share; false when the share is used up or after Drain.
  bool Reserve(Instant now);
  // Puts a connection back among the idle ones for further requests.
  void Return(std::unique_ptr<ClientConnection> connection);
  // Stops counting a closed connection against the share.
  void Release() { share_.Release(); }
  // Stops counting an unresponsive connection after ConnectionShare::kUnresponsiveHoldTime: until
  // then the upstream may still hold the connection.
  void ReleaseUnresponsive(Instant now) { share_.ReleaseUnresponsive(now); }
  // Closes all idle connections.
  void CloseIdle();
  // Closes connections that have been idle for longer than kMaxIdleTime or are no longer open.
  void CloseExpired(Instant now);
  // Closes the idle connections now, and those in use when they are returned.
  void Drain();

  const SocketAddress& address() const { return address_; }
  // The connection limit and the number of connections that count against it.
  ConnectionShare* share() { return &share_; }

  static constexpr Duration kMaxRecentUseAge = std::chrono::milliseconds(250);
  static constexpr Duration kMaxIdleTime = std::chrono::seconds(30);

 private:
  const SocketAddress address_;
  ConnectionShare share_;
  std::atomic<bool> is_draining_{false};
  // One element per connection of the initial share; null while it holds no idle connection.
  std::vector<std::atomic<ClientConnection*>> idle_slots_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_UPSTREAM_CONNECTIONS_H_
