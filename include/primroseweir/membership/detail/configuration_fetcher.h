#ifndef PRIMROSEWEIR_MEMBERSHIP_DETAIL_CONFIGURATION_FETCHER_H_
#define PRIMROSEWEIR_MEMBERSHIP_DETAIL_CONFIGURATION_FETCHER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/membership/gossip_hooks.h"
#include "primroseweir/peer/configuration_state.h"
#include "primroseweir/peer/snapshot_client.h"

namespace primroseweir {

class EventLog;

namespace detail {

// Fetches a newer configuration from the peer that named it, in a thread of its own, since a
// transfer blocks. One transfer runs at a time; what is heard meanwhile is heard again later. Safe
// for several threads.
class ConfigurationFetcher {
 public:
  // `fetched` is called after each transfer, failed ones included. All pointers must outlive the
  // fetcher.
  ConfigurationFetcher(const GossipHooks* hooks, const SnapshotClient* client, EventLog* events,
                       std::function<void()> fetched);
  ~ConfigurationFetcher();

  void Start();
  void Stop();

  // Starts a transfer if the peer's configuration is newer than `own`, or has the same revision and
  // other keys. Returns at once.
  void ReceiveState(const SocketAddress& peer, const ConfigurationState& theirs,
                    const ConfigurationState& own, Instant now);

  // Fetches and offers the values of one peer with a revision above `after`. Blocks. True when it
  // succeeded.
  bool Fetch(const SocketAddress& peer, Revision after);

  // Whole values are fetched for a difference in keys at most this often. A peer may keep a value
  // that is rejected here, and then the difference stays.
  static constexpr Duration kDifferencePeriod = std::chrono::seconds(2);

 private:
  struct Request {
    SocketAddress peer;
    Revision after;
  };

  void Run();

  const GossipHooks* const hooks_;
  const SnapshotClient* const client_;
  EventLog* const events_;
  const std::function<void()> fetched_;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<Request> request_;
  bool busy_ = false;
  bool stopping_ = false;
  Instant next_difference_;
  std::thread thread_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_DETAIL_CONFIGURATION_FETCHER_H_
