#ifndef PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/membership/membership_timeouts.h"
#include "primroseweir/membership/membership_view.h"
#include "primroseweir/peer/member_record.h"
#include "primroseweir/peer/seat_heartbeats.h"

namespace primroseweir {

class Random;

// Membership table and failure detector of one instance. Does no I/O and reads no clock: the
// current time is an argument. Not thread-safe.
//
// Only the member itself raises its heartbeat and declares its state (alive, leaving or, when it
// stops, dead). When heartbeats are missing, this instance concludes that the member is suspect and
// then dead; a newer heartbeat refutes that. A member declares its states in the order alive,
// leaving, dead and never goes back, so the latest declared state wins whichever heartbeat it came
// with. The time since a heartbeat is measured in listening time, i.e. while this process was
// running, so that a process that was paused does not mistake its own pause for missing heartbeats.
class MembershipTable {
 public:
  MembershipTable(Member self, MembershipTimeouts timeouts, Instant now);

  // Merges one record. `waited` is the known part of the delay between the sender and this call.
  // Returns true when a member in View was added or changed its state or revision. O(log n).
  bool Receive(const MemberRecord& received, Duration waited, Instant now);

  // Merges the heartbeats of members that are known here and not dead; only a full record can
  // revive a dead member. Returns true when View changed. O(n log n).
  bool ReceiveHeartbeats(const SeatHeartbeats& heartbeats, Duration waited, Instant now);

  // Returns the records of members that were added or declared another state since the last call,
  // to be forwarded.
  std::vector<MemberRecord> TakeChanges();

  // Raises this instance's heartbeat, updates the states of members without recent heartbeats and
  // removes expired dead members. Call it once a gossip period. Returns true when View changed.
  // O(n).
  bool Tick(Instant now);

  // Declares this instance leaving or stopped, which is sent with its next records.
  void DeclareLeaving();
  void DeclareStopped();
  void SetRevision(Revision revision);

  // Returns the record of this instance.
  MemberRecord SelfRecord() const;

  // Returns the records of the other members, newest heartbeat first, without members whose
  // heartbeats timed out. O(n log n).
  std::vector<MemberRecord> RecordsNewestFirst() const;

  // Returns the newest heartbeats of the other live members by seat, from seat 0.
  // O(n log n + seats).
  SeatHeartbeats Heartbeats() const;

  // Returns the peer addresses for one gossip round: two random live members and one more in
  // another data centre. So that a network partition heals, some calls also return random addresses
  // of `seeds` and of members whose heartbeats timed out, without those of live members: one in
  // every kUnreachableContactPeriod'th call, and up to three in a call without live members. O(n),
  // plus O(n) per such candidate.
  std::vector<SocketAddress> PickGossipTargets(const std::vector<SocketAddress>& seeds,
                                               Random* random);

  // Returns the peer addresses of up to `limit` random members that are not dead. O(n).
  std::vector<SocketAddress> LivePeers(std::size_t limit, Random* random) const;

  // Returns the number of other members that are not dead. O(n).
  std::size_t LiveCount() const;

  MembershipView View() const;

  // Number of gossip rounds with live members per contact with an unreachable address.
  static constexpr std::uint64_t kUnreachableContactPeriod = 5;

 private:
  using Key = std::pair<InstanceId, Incarnation>;

  // A member other than this instance.
  struct Entry {
    // Newest record, with the state that the member declared.
    MemberRecord record;
    // Listening time at which the member sent its newest heartbeat.
    Duration last_heartbeat_at{};
    // State shown in View.
    MemberState state = MemberState::kAlive;
  };

  void AdvanceListeningTime(Instant now);
  bool ReceiveSelfRecord(const MemberRecord& record);
  bool Insert(const MemberRecord& record, Duration last_heartbeat_at);
  bool Update(const MemberRecord& record, Duration last_heartbeat_at, Entry* entry);
  // Marks earlier incarnations at the same address as dead: a newer incarnation there proves that
  // they have ended. Returns true when a state changed.
  bool EndEarlierIncarnations(const MemberRecord& record);
  // Returns the live members by seat; null for a seat that several members have.
  std::map<std::uint64_t, const Entry*> EntriesBySeat() const;
  void AddChange(const Entry& entry);
  MemberRecord OutgoingRecord(const Entry& entry) const;
  bool UpdateState(Entry* entry);
  MemberState StateOf(const Entry& entry) const;
  Duration TimeSinceHeartbeat(const Entry& entry) const {
    return listening_time_ - entry.last_heartbeat_at;
  }
  bool IsExpired(const Entry& entry) const;
  void AddTombstone(const Key& key, std::uint64_t heartbeat);
  void AddLostPeer(const SocketAddress& address);
  bool IsLiveAddress(const SocketAddress& address) const;
  bool IsSeatTaken() const;
  std::vector<const Entry*> LiveEntries() const;
  std::vector<SocketAddress> UnreachableContacts(const std::vector<SocketAddress>& seeds) const;

  Member self_;
  std::uint64_t heartbeat_ = 0;
  const MembershipTimeouts timeouts_;
  std::map<Key, Entry> entries_;
  std::vector<Key> changed_members_;
  // Last heartbeats of removed members, so that an old record can't add them again.
  std::map<Key, std::uint64_t> tombstones_;
  std::deque<Key> tombstone_order_;
  // Addresses of members whose heartbeats timed out, newest last.
  std::deque<SocketAddress> lost_peers_;
  // Total time that this process was running and could receive messages.
  Duration listening_time_{};
  Instant last_advanced_at_;
  std::uint64_t target_picks_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_TABLE_H_
