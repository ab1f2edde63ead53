#ifndef PRIMROSEWEIR_MEMBERSHIP_GOSSIP_CONTROLLER_H_
#define PRIMROSEWEIR_MEMBERSHIP_GOSSIP_CONTROLLER_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/membership/gossip_hooks.h"
#include "primroseweir/membership/gossip_settings.h"
#include "primroseweir/membership/membership_view.h"
#include "primroseweir/membership/urgent_items.h"

namespace primroseweir {

class EventLog;

// Exchanges membership, observations, crash strikes and revisions with the other entry instances
// and fetches a newer configuration from the peer that named it. Owns the peer port and the threads
// behind it. Safe for several threads.
class GossipController {
 public:
  // Datagrams and bytes of the UDP part since the start, without IP and UDP headers.
  struct Traffic {
    std::uint64_t datagrams_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t datagrams_refused = 0;
  };

  // `events` must outlive the controller.
  GossipController(GossipSettings settings, GossipHooks hooks, EventLog* events);
  // Stops without a farewell when it is still running.
  ~GossipController();

  // Binds the peer port (UDP and TCP), asks the seeds for configuration and observations, and
  // starts the threads. Blocks for at most about two snapshot timeouts. Unavailable when the port
  // can't be bound; seeds that don't answer are no error.
  absl::Status Start();

  // Tells the peers that this process ends, and stops.
  void Stop();

  // Sends items to all peers at once. Returns without waiting.
  void SendUrgent(UrgentItems items);

  // Declares that this instance is leaving and tells the peers at once.
  void DeclareLeaving();

  // Asks peers for their revision. Returns when the first has answered and, if it named a newer
  // configuration, that one was fetched. Answers the highest revision named. DeadlineExceeded when
  // none answered in time; Unavailable when the controller isn't running.
  absl::StatusOr<Revision> RefreshNow(Duration timeout);

  // The fleet as this instance sees it; never null. Takes no lock.
  std::shared_ptr<const MembershipView> View() const;

  // The bound peer address; valid after Start.
  SocketAddress local_address() const;

  Traffic traffic() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_GOSSIP_CONTROLLER_H_
