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

// Fetches a newer configuration from the peer that reported it. Transfers block, so they run on a
// dedicated thread, one at a time. States received during a transfer are ignored, because peers
// report their state in every message. Thread-safe.
class ConfigurationFetcher {
 public:
  // `on_fetched` is called on the fetching thread after each transfer that ReceiveState started,
  // failed ones included. All pointers must outlive the fetcher.
  ConfigurationFetcher(const GossipHooks* hooks, const SnapshotClient* client, EventLog* events,
                       std::function<void()> on_fetched);
  ~ConfigurationFetcher();

  void Start();
  void Stop();

  // Requests a transfer if `remote`, the peer's configuration, is newer than `local` or has the
  // same revision but a different digest, i.e. different keys. Does not block on the transfer.
  void ReceiveState(const SocketAddress& peer, const ConfigurationState& remote,
                    const ConfigurationState& local, Instant now);

  // Fetches the values of one peer with a revision above `after` and passes them to the
  // `offer_configuration` hook. Blocks. Returns true when the transfer succeeded.
  bool Fetch(const SocketAddress& peer, Revision after);

  // Minimum time between transfers of all values because of a different digest. The difference can
  // persist: a peer may keep a value that this instance rejects.
  static constexpr Duration kDifferenceFetchInterval = std::chrono::seconds(2);

 private:
  struct Request {
    SocketAddress peer;
    Revision after;
  };

  void Run();

  const GossipHooks* const hooks_;
  const SnapshotClient* const client_;
  EventLog* const events_;
  const std::function<void()> on_fetched_;

  std::mutex mutex_;
  std::condition_variable state_changed_;
  std::optional<Request> pending_request_;
  bool is_fetching_ = false;
  bool stopping_ = false;
  Instant next_difference_fetch_;
  std::thread thread_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_DETAIL_CONFIGURATION_FETCHER_H_
