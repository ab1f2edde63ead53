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

// The gossip of one instance without threads, clocks and sockets: decides what to send to whom and
// what a received message means. Not safe for several threads.
class GossipNode {
 public:
  // Uses the providers of `hooks` and the sinks for observations and strikes. `hooks` and `signer`
  // must outlive the node.
  GossipNode(const GossipSettings& settings, const GossipHooks* hooks, const MessageSigner* signer,
             Instant now);

  // Takes in a message. `waited` is the time it waited in the socket; `received_at` the hybrid time
  // of its receipt. True when the membership changed.
  bool Receive(GossipMessage message, Duration waited, HybridTime received_at, Instant now);

  // The periodic datagrams; call it once a period. `membership_changed` may be null.
  std::vector<OutgoingDatagram> Tick(HybridTime sent_at, Instant now, bool* membership_changed);

  // Queues items for all peers (up to kUrgentTargets); UrgentDatagrams then gives the datagrams as
  // the budget allows.
  void QueueUrgent(const UrgentItems& items, Instant now);
  std::vector<OutgoingDatagram> UrgentDatagrams(HybridTime sent_at, Instant now);
  bool has_urgent() const { return !urgent_targets_.empty(); }

  // Asks up to kQueryTargets live peers, or the seeds, to answer at once.
  std::vector<OutgoingDatagram> QueryDatagrams(std::uint64_t query_id, HybridTime sent_at,
                                               Instant now);
  // The answer to a message with a question; empty when the budget is used up.
  std::vector<OutgoingDatagram> Respond(const GossipMessage& message, HybridTime sent_at,
                                        Instant now);

  // Observations that came with a snapshot are no news for the peers.
  void RecordSnapshot(const std::vector<UpstreamObservation>& observations);

  MembershipTable& table() { return table_; }
  const MembershipTable& table() const { return table_; }

  static constexpr std::size_t kUrgentTargets = 32;
  static constexpr std::size_t kQueryTargets = 5;
  // IP and UDP headers of a datagram.
  static constexpr std::size_t kHeaderBytes = 28;

 private:
  using MemberKey = std::pair<InstanceId, Incarnation>;
  // Fingerprint, upstream and whether it is a success.
  using StrikeKey = std::tuple<std::uint64_t, UpstreamId, bool>;

  // Changes that were put into one datagram.
  struct AddedRumors {
    std::vector<StrikeKey> strikes;
    std::vector<UpstreamId> observations;
    std::vector<MemberKey> members;
  };

  // What is left of the budget for periodic datagrams, per datagram.
  std::size_t PeriodicLimit(std::size_t datagrams, Instant now);
  GossipHeader MakeHeader(HybridTime sent_at);
  DatagramPacker StartDatagram(const GossipHeader& header, std::size_t limit);
  AddedRumors AddRumors(DatagramPacker* packer, Instant now);
  // Counts the changes of a datagram that was within the budget.
  void RecordSent(const AddedRumors& added);
  void AddNewest(const std::vector<MemberRecord>& members,
                 const std::vector<UpstreamObservation>& observations, DatagramPacker* packer);
  void AddHeartbeats(DatagramPacker* packer);
  // Takes the bytes from the budget; false when they don't fit.
  bool TryAcquireBytes(std::size_t bytes, Instant now);
  // Passes on which members are new or declared another state.
  void RecordMemberChanges(Instant now);
  void RecordNewest(const std::vector<UpstreamObservation>& observations, Instant now);
  // Notes a strike and passes it on when it is a later event than the one known.
  void RecordStrike(const CrashStrike& strike, Instant now);
  std::size_t RumorLimit() const;
  // Time by which a message is older than the newest of its sender; not 0 for reordered and
  // replayed ones.
  Duration MessageLag(const GossipHeader& header, HybridTime received_at);
  void ReceiveObservations(std::vector<UpstreamObservation> observations, Duration age,
                           Instant now);
  void ReceiveStrikes(std::vector<CrashStrike> strikes, Duration age, Instant now);

  const GossipSettings settings_;
  const GossipHooks* const hooks_;
  const MessageSigner* const signer_;
  Random random_;
  MembershipTable table_;
  ObservationChanges observation_changes_;
  detail::RumorQueue<UpstreamId, UpstreamObservation> observation_rumors_;
  detail::RumorQueue<StrikeKey, CrashStrike> strike_rumors_;
  detail::RumorQueue<MemberKey, MemberRecord> member_rumors_;
  // Time of the newest event of each key.
  std::map<StrikeKey, Instant> known_strikes_;
  std::map<std::pair<InstanceId, Incarnation>, HybridTime> newest_from_;
  TokenBucket bytes_;
  TokenBucket urgent_datagrams_;
  std::vector<SocketAddress> urgent_targets_;
  // Where the heartbeats of the next datagram begin.
  std::size_t next_seat_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_GOSSIP_NODE_H_
