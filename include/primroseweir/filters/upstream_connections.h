#ifndef PRIMROSEWEIR_FILTERS_UPSTREAM_CONNECTIONS_H_
#define PRIMROSEWEIR_FILTERS_UPSTREAM_CONNECTIONS_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

class ClientConnection;

// The connections of this instance to one upstream, at most its fixed share of them. Safe for many
// threads; no function takes a lock. Complexity: linear in the share.
class UpstreamConnections {
 public:
  UpstreamConnections(const SocketAddress& address, std::size_t share);
  ~UpstreamConnections();
  UpstreamConnections(const UpstreamConnections&) = delete;
  UpstreamConnections& operator=(const UpstreamConnections&) = delete;

  // An idle connection that still looks open; null when there is none. With `proven`, only one on
  // which bytes arrived within kProvenAge.
  std::unique_ptr<ClientConnection> TakeIdle(bool proven, Instant now);
  // Closes one idle connection and hands its place to the caller; false when none is idle.
  bool ReplaceIdle();
  // Takes a place for a new connection; false when the share is used up.
  bool Reserve(Instant now);
  // Gives back a connection for further requests.
  void Put(std::unique_ptr<ClientConnection> connection);
  // Gives back the place of a closed connection.
  void Release();
  // Gives back the place of a connection that went silent, kSilentHold later: the upstream may hold
  // it until then.
  void ReleaseSilent(Instant now);
  // Closes all idle connections.
  void CloseIdle();
  // Closes connections that have been idle for kMaxIdle.
  void CloseOld(Instant now);
  // Closes the idle connections, and the others when they are given back.
  void Retire();

  const SocketAddress& address() const { return address_; }
  std::size_t share() const { return share_; }
  // Places taken, those of silent connections included.
  std::size_t open() const { return open_.load(); }

  static constexpr Duration kProvenAge = std::chrono::milliseconds(250);
  static constexpr Duration kSilentHold = std::chrono::seconds(60);
  static constexpr Duration kMaxIdle = std::chrono::seconds(30);

 private:
  void ReleaseExpired(Instant now);

  const SocketAddress address_;
  const std::size_t share_;
  std::atomic<std::size_t> open_{0};
  std::atomic<bool> retired_{false};
  std::vector<std::atomic<ClientConnection*>> idle_;
  // When the places of silent connections come back, in ticks of the monotonic clock; 0 for none.
  std::vector<std::atomic<std::int64_t>> silent_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_UPSTREAM_CONNECTIONS_H_
