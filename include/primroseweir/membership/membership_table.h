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

// What one instance knows about all members. Decides only; the present time is an argument. Not
// safe for several threads.
//
// Each member alone raises its heartbeat and declares its state (alive, leaving or, when it stops,
// dead). Suspect and dead are this instance's own conclusions from silence; a newer heartbeat
// refutes them. A member declares its states in the order alive, leaving, dead and never goes back,
// so the latest declared state wins whichever heartbeat it came with. Silence is counted in the
// time that this process was listening, so that one that was paused does not take its own absence
// for the silence of others.
class MembershipTable {
 public:
  MembershipTable(Member self, MembershipTimeouts timeouts, Instant now);

  // Takes in one record. `waited` is the time the record spent between its sender and this call, as
  // far as known. True when a member or its state in View changed. O(log n).
  bool Receive(const MemberRecord& received, Duration waited, Instant now);

  // Takes in the heartbeats of members that are known here and not dead; a whole record alone
  // brings a member back. True when View changed. O(n + seats).
  bool ReceiveHeartbeats(const SeatHeartbeats& heartbeats, Duration waited, Instant now);

  // Members that were new or declared another state since the last call, for passing on.
  std::vector<MemberRecord> TakeChanges();

  // Raises the own heartbeat, passes judgement on silent members and forgets long dead ones. Call
  // it once a gossip period. True when View changed. O(n).
  bool Tick(Instant now);

  // Declares the own state; it spreads with the next records.
  void DeclareLeaving();
  void DeclareStopped();
  void SetRevision(Revision revision);

  // The record of this instance itself.
  MemberRecord OwnRecord() const;

  // Records of the others worth passing on, newest heartbeat first. O(n log n).
  std::vector<MemberRecord> NewestFirst() const;

  // The newest heartbeats of the others by seat, from seat 0. O(n + seats).
  SeatHeartbeats Heartbeats() const;

  // Peer addresses for one period: two random members and one in another data centre. Every
  // kContactPeriod'th call, or when nobody is known, also addresses from which nobody is heard:
  // `seeds` and members lost to silence, so that a split heals. O(n).
  std::vector<SocketAddress> ChooseTargets(const std::vector<SocketAddress>& seeds, Random* random);

  // Peer addresses of up to `limit` random members that are not dead. O(n).
  std::vector<SocketAddress> LivePeers(std::size_t limit, Random* random) const;

  // Number of other members that are not dead. O(n).
  std::size_t LiveCount() const;

  MembershipView View() const;

  static constexpr std::uint64_t kContactPeriod = 5;

 private:
  using Key = std::pair<InstanceId, Incarnation>;

  // A member other than this instance.
  struct Entry {
    // As the member declared itself.
    MemberRecord record;
    // Listening time at which the newest heartbeat was sent.
    Duration last_heartbeat_at{};
    // As View shows it.
    MemberState state = MemberState::kAlive;
  };

  void Advance(Instant now);
  bool ReceiveOwn(const MemberRecord& record);
  bool Insert(const MemberRecord& record, Duration last_heartbeat_at);
  bool Update(const MemberRecord& record, Duration last_heartbeat_at, Entry* entry);
  // A newer run at the same address proves that the older one has ended.
  bool EndEarlierIncarnations(const MemberRecord& record);
  // Live members by seat; null for a seat that several have.
  std::map<std::uint64_t, const Entry*> EntriesBySeat() const;
  void AddChange(const Entry& entry);
  MemberRecord ToSend(const Entry& entry) const;
  bool UpdateState(Entry* entry);
  MemberState StateOf(const Entry& entry) const;
  Duration TimeSinceHeartbeat(const Entry& entry) const {
    return listening_time_ - entry.last_heartbeat_at;
  }
  bool IsExpired(const Entry& entry) const;
  void AddTombstone(const Key& key, std::uint64_t heartbeat);
  void AddLostContact(const SocketAddress& address);
  bool IsLiveAddress(const SocketAddress& address) const;
  bool IsSeatTaken() const;
  std::vector<const Entry*> LiveEntries() const;
  std::vector<SocketAddress> UnreachableContacts(const std::vector<SocketAddress>& seeds) const;

  Member self_;
  std::uint64_t heartbeat_ = 0;
  const MembershipTimeouts timeouts_;
  std::map<Key, Entry> entries_;
  std::vector<Key> changed_members_;
  // Last heartbeats of forgotten members, so that an old record can't bring them back.
  std::map<Key, std::uint64_t> tombstones_;
  std::deque<Key> tombstone_order_;
  // Addresses of members lost to silence, newest last.
  std::deque<SocketAddress> lost_contacts_;
  // Time that this process was listening.
  Duration listening_time_{};
  Instant advanced_to_;
  std::uint64_t target_choices_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_TABLE_H_
