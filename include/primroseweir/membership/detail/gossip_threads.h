#ifndef PRIMROSEWEIR_MEMBERSHIP_DETAIL_GOSSIP_THREADS_H_
#define PRIMROSEWEIR_MEMBERSHIP_DETAIL_GOSSIP_THREADS_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/membership/detail/configuration_fetcher.h"
#include "primroseweir/membership/gossip_controller.h"
#include "primroseweir/membership/gossip_node.h"
#include "primroseweir/peer/snapshot_client.h"
#include "primroseweir/peer/snapshot_server.h"
#include "primroseweir/peer/udp_transport.h"

namespace primroseweir {
namespace detail {

// Threads of GossipController. Once the gossip thread runs, it alone uses the GossipNode; other
// threads queue requests and wake it.
class GossipThreads {
 public:
  GossipThreads(GossipSettings settings, GossipHooks hooks, EventLog* events);
  ~GossipThreads();

  absl::Status Start();
  void Stop(bool send_leave);
  void SendUrgent(UrgentItems items);
  void DeclareLeaving();
  absl::StatusOr<Revision> RefreshNow(Duration timeout);
  std::shared_ptr<const MembershipView> View() const { return view_.Load(); }
  SocketAddress local_address() const;
  GossipController::Traffic traffic() const;

 private:
  // Requests that other threads queued for the gossip thread.
  struct PendingRequests {
    bool urgent = false;
    bool leaving = false;
    UrgentItems items;
    std::vector<std::uint64_t> query_ids;
  };

  // State of one RefreshNow call that is waiting.
  struct PendingRefresh {
    bool has_response = false;
    Revision revision;
  };

  absl::Status Bind();
  absl::Status BindOnce();
  void QuerySeeds();
  void QuerySeed(const SocketAddress& seed);
  void Run();
  void SendLeaveMessages();
  void NotifyPendingRefreshes();
  void ProcessPendingRequests(Instant now);
  void ReceiveDatagrams(Instant now);
  void ReceiveDatagram(const Datagram& datagram, Instant now);
  void ReceiveUsage(const Datagram& datagram, Instant now);
  void ReceiveConfigurationState(const GossipMessage& message, Duration waited, Instant now);
  void RecordResponse(const GossipHeader& header);
  void TickWhenDue(Instant now);
  void Send(const std::vector<OutgoingDatagram>& datagrams);
  void SendQueuedUrgent(Instant now);
  bool ReportsUsage() const;
  void ReportUsageWhenDue(Instant now);
  void PublishView(Instant now);
  void EmitChanges(const MembershipView& before, const MembershipView& after);
  void RecordRefusedDatagram(const absl::Status& status, Instant now);
  Duration WaitTime(Instant now) const;
  ConfigurationState LocalConfigurationState() const;
  HybridTime HybridNow();

  GossipSettings settings_;
  const GossipHooks hooks_;
  EventLog* const events_;
  const MessageSigner signer_;
  const SnapshotClient client_;
  ConfigurationFetcher fetcher_;
  std::unique_ptr<UdpTransport> transport_;
  std::unique_ptr<SnapshotServer> server_;
  std::unique_ptr<GossipNode> node_;
  RcuCell<MembershipView> view_;
  Random rng_;

  std::mutex mutex_;
  PendingRequests pending_requests_;
  std::map<std::uint64_t, PendingRefresh> pending_refreshes_;
  std::condition_variable refresh_changed_;

  std::atomic<bool> stopping_{false};
  std::atomic<bool> send_leave_{false};
  std::atomic<bool> running_{false};
  std::atomic<std::uint64_t> datagrams_sent_{0};
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> datagrams_received_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
  std::atomic<std::uint64_t> datagrams_refused_{0};
  Instant next_tick_;
  Instant next_usage_;
  Instant next_refused_event_;
  std::thread thread_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_DETAIL_GOSSIP_THREADS_H_
