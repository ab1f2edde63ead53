#ifndef PRIMROSEWEIR_MEMBERSHIP_GOSSIP_NODE_H_
#define PRIMROSEWEIR_MEMBERSHIP_GOSSIP_NODE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "primroseweir/base/hybrid_time.h"
#include "primroseweir/base/random.h"
#include "primroseweir/customers/fleet_quota.h"
#include "primroseweir/membership/detail/rumor_queue.h"
#include "primroseweir/membership/gossip_hooks.h"
#include "primroseweir/membership/gossip_settings.h"
#include "primroseweir/membership/membership_table.h"
#include "primroseweir/membership/observation_changes.h"
#include "primroseweir/membership/outgoing_datagram.h"
#include "primroseweir/membership/urgent_items.h"
#include "primroseweir/peer/datagram_packer.h"
#include "primroseweir/peer/gossip_message.h"
#include "primroseweir/peer/message_signer.h"
#include "primroseweir/peer/token_bucket.h"

namespace primroseweir {

// Gossip protocol of one instance without threads, clocks and sockets: builds the datagrams to
// send, chooses their targets and processes received messages. Not thread-safe.
class GossipNode {
 public:
  // Calls the providers in `hooks` and its sinks for observations and strikes. `hooks` and `signer`
  // must outlive the node.
  GossipNode(const GossipSettings& settings, const GossipHooks* hooks, const MessageSigner* signer,
             Instant now);

  // Processes a message. `waited` is the time it spent in the socket buffer, `received_at` the
  // hybrid time of its receipt. Returns true when the membership changed.
  bool Receive(GossipMessage message, Duration waited, HybridTime received_at, Instant now);

  // Returns the datagrams of one gossip round; call it once a period. `membership_changed` may be
  // null.
  std::vector<OutgoingDatagram> Tick(HybridTime sent_at, Instant now, bool* membership_changed);

  // Queues items for all live peers, at most kMaxUrgentTargets. UrgentDatagrams then returns
  // the datagrams as the send budget allows.
  void QueueUrgent(const UrgentItems& items, Instant now);
  std::vector<OutgoingDatagram> UrgentDatagrams(HybridTime sent_at, Instant now);
  bool has_urgent() const { return !urgent_targets_.empty(); }

  // Returns queries that request an immediate response from up to kMaxQueryTargets live peers,
  // or from the seeds when no peer is live.
  std::vector<OutgoingDatagram> QueryDatagrams(std::uint64_t query_id, HybridTime sent_at,
                                               Instant now);
  // Returns the response to a query; empty when the byte budget is used up.
  std::vector<OutgoingDatagram> Respond(const GossipMessage& message, HybridTime sent_at,
                                        Instant now);

  // Returns datagrams with a report of the use of quotas to kMaxUsageTargets live peers, at most as
  // the byte budget allows: to those that have such calls in turn, then to others.
  std::vector<OutgoingDatagram> UsageDatagrams(Instant now);

  // Records observations from a snapshot without forwarding them: the peers already have them.
  void RecordSnapshot(const std::vector<UpstreamObservation>& observations);

  MembershipTable& table() { return table_; }
  const MembershipTable& table() const { return table_; }

  static constexpr std::size_t kMaxUrgentTargets = 32;
  static constexpr std::size_t kMaxQueryTargets = 5;
  // As FleetQuota expects of the reports.
  static constexpr std::size_t kMaxUsageTargets = FleetQuota::kMaxReportTargets;
  static constexpr Duration kUsageReportInterval = FleetQuota::kReportInterval;
  // Size of the IP and UDP headers of a datagram.
  static constexpr std::size_t kIpUdpHeaderBytes = 28;

 private:
  using MemberKey = std::pair<InstanceId, Incarnation>;
  // Fingerprint, upstream and whether the request succeeded there.
  using StrikeKey = std::tuple<std::uint64_t, UpstreamId, bool>;

  // Keys of the changes in one datagram.
  struct AddedRumors {
    std::vector<StrikeKey> strikes;
    std::vector<UpstreamId> observations;
    std::vector<MemberKey> members;
  };

  // Returns the size limit in bytes of the next of `datagrams` periodic datagrams. They share the
  // byte budget equally, after the reserve for urgent datagrams is subtracted.
  std::size_t PeriodicDatagramLimit(std::size_t datagrams, Instant now);
  GossipHeader MakeHeader(HybridTime sent_at);
  DatagramPacker StartDatagram(const GossipHeader& header, std::size_t limit);
  AddedRumors AddRumors(DatagramPacker* packer, Instant now);
  // Counts a sending of the changes in a datagram that was within the byte budget.
  void RecordSent(const AddedRumors& added);
  void AddPeriodicRecords(const std::vector<MemberRecord>& members,
                          const std::vector<UpstreamObservation>& observations,
                          DatagramPacker* packer);
  void AddHeartbeats(DatagramPacker* packer);
  // Takes `bytes` and kIpUdpHeaderBytes from the byte budget. Returns false, without taking any,
  // when it holds fewer.
  bool TryAcquireBytes(std::size_t bytes, Instant now);
  // Queues the records of members that are new or declared another state.
  void QueueMemberChanges(Instant now);
  void QueueObservationChanges(const std::vector<UpstreamObservation>& observations, Instant now);
  // Records a strike and queues it when it is a later event than the known one with the same key.
  void RecordStrike(const CrashStrike& strike, Instant now);
  std::size_t MaxRumorSends() const;
  // Returns by how much a message is older than the newest one of its sender, which is above zero
  // for reordered and replayed messages. For the first message of a sender, returns by how much its
  // age by the hybrid clock exceeds the clock tolerance.
  Duration MessageLag(const GossipHeader& header, HybridTime received_at);
  // Returns the peers for the next report of the use of quotas, the most important first.
  std::vector<SocketAddress> PickUsageTargets(Instant now);
  void ReceiveObservations(std::vector<UpstreamObservation> observations, Duration age,
                           Instant now);
  void ReceiveStrikes(std::vector<CrashStrike> strikes, Duration age, Instant now);

  const GossipSettings settings_;
  const GossipHooks* const hooks_;
  const MessageSigner* const signer_;
  Random random_;
  MembershipTable table_;
  ObservationChanges changes_;
  detail::RumorQueue<UpstreamId, UpstreamObservation> upstream_rumors_;
  detail::RumorQueue<StrikeKey, CrashStrike> strike_rumors_;
  detail::RumorQueue<MemberKey, MemberRecord> member_rumors_;
  // Time of the newest strike or success of each key.
  std::map<StrikeKey, Instant> newest_strike_times_;
  std::map<std::pair<InstanceId, Incarnation>, HybridTime> newest_sent_at_;
  TokenBucket byte_budget_;
  TokenBucket urgent_budget_;
  std::vector<SocketAddress> urgent_targets_;
  // First seat whose heartbeat goes into the next datagram.
  std::size_t next_heartbeat_seat_ = 0;
  // Peer with calls of customers with quotas that receives the next report first.
  std::size_t next_usage_target_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_GOSSIP_NODE_H_
