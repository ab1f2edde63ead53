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

// The connections of this instance to one upstream, at most its fixed share of them. Safe for many
// threads; no function takes a lock unless connections went silent lately. Complexity: linear in
// the share.
class UpstreamConnections {
 public:
  // `id` and `connections` come from the list, `seat` of `seats` from the settings.
  UpstreamConnections(const UpstreamRecord& record, Seat seat, std::uint64_t seats);
  ~UpstreamConnections();
  UpstreamConnections(const UpstreamConnections&) = delete;
  UpstreamConnections& operator=(const UpstreamConnections&) = delete;

  // An idle connection that still looks open; null when there is none. With `proven`, only one on
  // which bytes arrived within kMaxRecentUseAge.
  std::unique_ptr<ClientConnection> AcquireIdle(bool recently_used, Instant now);
  // Closes one idle connection and hands its place to the caller; false when none is idle.
  bool EvictIdle();
  // Takes a place for a new connection; false when the share is used up.
  bool Reserve(Instant now);
  // Gives back a connection for further requests.
  void Return(std::unique_ptr<ClientConnection> connection);
  // Gives back the place of a closed connection.
  void Release() { share_.Release(); }
  // Gives up a connection that went silent. Its place stays taken for a while: the upstream may
  // still hold the connection.
  void ReleaseUnresponsive(Instant now) { share_.ReleaseUnresponsive(now); }
  // Closes all idle connections.
  void CloseIdle();
  // Closes connections that have been idle for kMaxIdleTime.
  void CloseExpired(Instant now);
  // Closes the idle connections, and the others when they are given back.
  void Retire();

  const SocketAddress& address() const { return address_; }
  // The fixed share with its count.
  ConnectionShare* share() { return &share_; }

  static constexpr Duration kMaxRecentUseAge = std::chrono::milliseconds(250);
  static constexpr Duration kMaxIdleTime = std::chrono::seconds(30);

 private:
  const SocketAddress address_;
  ConnectionShare share_;
  std::atomic<bool> retired_{false};
  // One place per connection of the share at the start; null for none.
  std::vector<std::atomic<ClientConnection*>> idle_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_UPSTREAM_CONNECTIONS_H_
