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

// Exchanges membership, upstream observations, crash strikes and configuration revisions with the
// other entry instances and fetches a newer configuration from the peer that reported it. Owns the
// peer port and the threads that serve it. Thread-safe.
class GossipController {
 public:
  // Counters of UDP datagrams and bytes since the start, without IP and UDP headers.
  struct Traffic {
    std::uint64_t datagrams_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t datagrams_refused = 0;
  };

  // `events` must outlive the controller.
  GossipController(GossipSettings settings, GossipHooks hooks, EventLog* events);
  // Stops without notifying the peers if the controller is still running.
  ~GossipController();

  // Binds the peer port (UDP and TCP), fetches configuration and observations from the seeds, and
  // starts the threads. Blocks for at most about two snapshot timeouts. Returns Unavailable when
  // the port can't be bound; unresponsive seeds are not an error.
  absl::Status Start();

  // Notifies the peers that this process ends, and stops the threads.
  void Stop();

  // Queues items for immediate sending to the peers. Does not wait until they are sent.
  void SendUrgent(UrgentItems items);

  // Declares that this instance is leaving and notifies the peers immediately.
  void DeclareLeaving();

  // Queries peers for their revision and returns the highest revision reported. Waits for the first
  // response and, if it reports a newer configuration, until that is fetched; if the fetch does not
  // end within `timeout`, returns the reported revision nevertheless. Returns DeadlineExceeded when
  // no peer responded in time, and Unavailable when the controller isn't running.
  absl::StatusOr<Revision> RefreshNow(Duration timeout);

  // Returns the fleet as known to this instance; never null. Takes no lock.
  std::shared_ptr<const MembershipView> View() const;

  // Returns the bound peer address; valid after Start.
  SocketAddress local_address() const;

  Traffic traffic() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_GOSSIP_CONTROLLER_H_
