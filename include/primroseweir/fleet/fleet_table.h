#ifndef PRIMROSEWEIR_FLEET_FLEET_TABLE_H_
#define PRIMROSEWEIR_FLEET_FLEET_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"
#include "primroseweir/fleet/fleet_heartbeat.h"
#include "primroseweir/fleet/fleet_member.h"

namespace primroseweir {

// Membership table of the fleet, kept current by heartbeats that spread by gossip. Instances have
// no fixed positions and the fleet no fixed size: instances are added, replaced and lost at any
// time.
//
// An instance counts as live while its heartbeat advances. Heartbeats are sent as FleetHeartbeats
// of a few bytes each: within a data centre by gossip, and from a few representatives of it to one
// instance of each other data centre, which forwards them to all instances there. Whole records are
// sent only to instances that lack them. For limits that hold for the fleet as a whole, the table
// also gives the highest number of instances that may be sending calls, which falls slowly.
//
// Load pattern: hundreds of small instances. Sending whole records of all instances to some of them
// took more of the links and of the processors than the calls.
class FleetTable {
 public:
  FleetTable(const FleetMember& self, std::uint64_t seed);

  // ---- own state ----

  // Advances this instance's heartbeat, and removes peers whose last heartbeat is older than
  // kSilentPeerRetention.
  void AdvanceHeartbeat(Instant now);
  void SetLeaving(bool leaving) { self_.leaving = leaving; }
  void SetReadsStore(bool reads) { self_.reads_store = reads; }
  // Sets the load from callers: calls and kilobytes of responses a second. A small change is left
  // out of the record, since every other instance requests a changed record.
  void SetLoad(std::uint32_t calls_per_second, std::uint32_t kilobytes_per_second);
  void SetPublishedRevision(Revision revision) { self_.published_revision = revision; }
  const FleetMember& self() const { return self_; }

  // ---- exchange ----

  // Merges a record from a peer, unless it has no IPv4 address or a data centre of more than
  // kMaxNameBytes. Returns true if that incarnation of the instance was not known as live before. A
  // record of an earlier run of this instance with a higher incarnation raises this instance's
  // incarnation above it: incarnations start from the time of day, which may have stepped back in
  // between.
  bool Merge(const FleetMember& member, Instant now);
  // Returns the known record of an earlier run of `sender` whose incarnation is higher than the
  // sender's. The sender needs it to raise its incarnation, or its records would be ignored for as
  // long as its clock is behind.
  std::optional<FleetMember> EarlierIncarnation(const FleetMember& sender) const;
  // Returns this instance's record, followed by that of MostUpToDatePeer if there is one. They
  // accompany the heartbeats to gossip targets. Linear.
  std::vector<FleetMember> OwnRecords(Instant now) const;
  // Returns heartbeats of all live peers of this data centre and of the receiver's, whose instances
  // may know of each other only through this one, and of kIntroducedPeers of each other data
  // centre. Linear.
  std::vector<FleetHeartbeat> HeartbeatsFor(const DataCentre& receiver, Instant now) const;
  // Returns heartbeats of all live peers, for an instance that knows no others. Linear.
  std::vector<FleetHeartbeat> AllHeartbeats(Instant now) const;
  // Result of receiving a peer's heartbeats.
  struct HeartbeatChanges {
    // Instances that had timed out and are live again.
    std::vector<std::string> recovered;
    // Instances whose current record the peer has and this instance lacks, to be requested now. At
    // most kMaxRequestedRecords.
    std::vector<std::string> requested_records;
  };
  // Applies the heartbeats that a peer knows. O(n log n).
  HeartbeatChanges ReceiveHeartbeats(const std::vector<FleetHeartbeat>& heartbeats, Instant now);
  // Whether to forward heartbeats received from data centre `from` within this data centre. False
  // if some were forwarded less than kMinForwardInterval ago, by this or another instance; true
  // records them as forwarded now.
  bool TryAcquireForwardTurn(const DataCentre& from, Instant now);
  // Records that another instance of this data centre forwarded heartbeats of `from`.
  void RecordForwarded(const DataCentre& from, Instant now) {
    if (HasRoomForForwarded(from)) {
      forwarded_at_[from] = now;
    }
  }
  // Returns those of `heartbeats` to forward within this data centre: all but those of its own
  // instances. Linear.
  std::vector<FleetHeartbeat> HeartbeatsToForward(
      const std::vector<FleetHeartbeat>& heartbeats) const;
  // Returns this instance's record and those of the live ones of `ips`.
  std::vector<FleetMember> RecordsOf(const std::vector<std::string>& ips, Instant now) const;
  // Returns this instance's record and those of the live peers that read the store. Linear.
  std::vector<FleetMember> StoreReaderRecords(Instant now) const;

  // Instances to send a message to after a heartbeat, by the content of the message.
  struct GossipTargets {
    // Instances that receive only this instance's record.
    std::vector<std::string> own_record_only;
    // Instances that receive heartbeats, each with its data centre.
    std::vector<std::pair<std::string, DataCentre>> heartbeats;
  };
  // Picks the targets of heartbeat number `heartbeat_count`. Representatives of their data centre
  // also send to an instance of each other data centre, which forwards the heartbeats there, and to
  // an instance that has timed out, so that the halves of a healed partition find each other.
  // Linear.
  GossipTargets PickGossipTargets(std::uint64_t heartbeat_count, Instant now);

  // ---- view ----

  // Returns all live instances other than this one.
  std::vector<FleetMember> LivePeers(Instant now) const;
  bool IsLivePeer(const std::string& ip, Instant now) const;
  // Returns the peers that this instance notifies of changes: all live ones of its data centre, and
  // kRelaysPerDataCentre of each other data centre, which notify the others there. Linear.
  std::vector<std::string> ChangeTargets(Instant now) const;
  // Returns the live peers of this instance's data centre.
  std::vector<std::string> LocalPeers(Instant now) const;
  // Returns the live peer with the highest published revision, between equals one of this data
  // centre; nothing if none is ahead of this instance.
  std::optional<FleetMember> MostUpToDatePeer(Instant now) const;
  bool IsLocal(const FleetMember& member) const { return member.data_centre == self_.data_centre; }
  // Whether this instance should read the platform's store. The store counts and prices each call,
  // so one instance of a data centre reads and the others copy from it, and at most
  // kMaxReadingDataCentres data centres have a reader. A reader continues until one of a better
  // rank reads, and an instance with a faster link may take over from it.
  bool ShouldReadStore(Instant now) const;
  // Returns the time until this instance is to call the store, zero for now, at most
  // kReadCheckInterval. While no instance of the data centre reads, they call one after the other
  // in the order of their rank: the next one soon, since the store may refuse the one before, and
  // never all at once, since the store may be down. A result of zero uses up this instance's
  // attempt of the current round.
  Duration TimeUntilRead(Instant now);
  // Whether no data centre with a store reader ranks before this one. The first reader notifies
  // peers of each change at once; the readers of the other data centres are standbys in case it is
  // lost.
  bool IsFirstReader(Instant now) const { return ReadingDataCentresAhead(now) == 0; }
  // Returns the highest number of instances, this one included, that may be sending calls.
  // kUnknownFleetSize while no peer is known: an instance that has been cut off since its start
  // can't know the number.
  std::size_t PeakSize(Instant now) const;

  // Instances of the fleet, this one included: those that are live, and those that may be running,
  // which are these and the silent ones that have not ended as far as known.
  struct Census {
    std::size_t live = 1;
    std::size_t possible = 1;
  };
  Census Count(Instant now) const;
  // Returns the IP addresses of the peers that are silent and may be running.
  std::vector<std::string> SilentPeers(Instant now) const;
  // Records that an instance has ended. It counts as running again once its heartbeat advances.
  void RecordStopped(const std::string& ip, Instant now);

  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);
  // Six heartbeats. Applies within a data centre whose instances all send to each other.
  static constexpr Duration kDirectHeartbeatTimeout = std::chrono::milliseconds(1500);
  // Six gossip rounds. Applies within a data centre whose instances receive each other's heartbeats
  // through others: the last heartbeat of a dead instance spreads for two more seconds, and address
  // responses must not name an instance that has been gone for six seconds.
  static constexpr Duration kRelayedHeartbeatTimeout = std::chrono::milliseconds(3000);
  // Applies to instances of other data centres.
  static constexpr Duration kRemoteHeartbeatTimeout = std::chrono::milliseconds(4000);
  // PeakSize counts a peer this long after its last heartbeat, since an instance that is cut off
  // goes on sending calls.
  static constexpr Duration kPeakSizeWindow = std::chrono::seconds(60);
  // A peer is removed this long after its last heartbeat.
  static constexpr Duration kSilentPeerRetention = std::chrono::minutes(10);
  // Up to this number of local peers, the instances of a data centre all send to each other.
  static constexpr std::size_t kMaxDirectPeers = 8;
  // Local peers that are sent heartbeats after every second heartbeat, when there are more than
  // kMaxDirectPeers.
  static constexpr std::size_t kGossipFanout = 3;
  // Peers whose heartbeat advanced within this time are preferred as gossip targets.
  static constexpr Duration kRecentHeartbeatWindow = std::chrono::milliseconds(1500);
  // Each representative of a data centre sends heartbeats to one instance of each other data centre
  // after this many of its own, staggered among the representatives. Two rounds may fail within
  // kRemoteHeartbeatTimeout.
  static constexpr std::uint64_t kHeartbeatsPerRemoteRound = 8;
  static constexpr std::size_t kMaxRepresentatives = 4;
  // Heartbeats of a remote data centre that arrive within this time of forwarded ones are not
  // forwarded. That usually drops half of them, and any of the representatives may still fail.
  static constexpr Duration kMinForwardInterval = std::chrono::milliseconds(700);
  // Peers of a third data centre that a message names, so that the receiver can reach that data
  // centre until it exchanges heartbeats with it.
  static constexpr std::size_t kIntroducedPeers = 2;
  // Limit on the records that one message requests: those of a whole data centre fill a few
  // packets.
  static constexpr std::size_t kMaxRequestedRecords = 64;
  // Limit on the records that are kept, above any fleet. When it is reached, a record replaces that
  // of an instance that has timed out, or is ignored. Also the limit on the records that are
  // requested at a time.
  static constexpr std::size_t kMaxPeers = 2000;
  // Longest name of a data centre that is accepted from peers.
  static constexpr std::size_t kMaxNameBytes = 256;
  // Limit on the data centres whose heartbeats are forwarded.
  static constexpr std::size_t kMaxDataCentres = 256;
  // After a record was ignored for lack of room, further ones are for this time, since the search
  // for room is linear.
  static constexpr Duration kNoRoomRetryDelay = std::chrono::milliseconds(250);
  // A record is requested again after this time, since the request or the response may be lost.
  static constexpr Duration kRecordRequestInterval = std::chrono::milliseconds(400);
  // A heartbeat further back than this belongs to a later incarnation whose record has the same
  // digest by chance: instances exchange heartbeats that are a few seconds old at most.
  static constexpr std::int16_t kMinHeartbeatDistance = -120;
  // The load in the record is updated when it differs from the actual one by more than this
  // fraction of the recorded load, or of kLoadChangeFloor (calls or kilobytes a second) if that is
  // more: an instance with a call now and then does not matter to SubsetPicker.
  static constexpr double kLoadChangeThreshold = 0.25;
  static constexpr std::uint32_t kLoadChangeFloor = 10;
  // Instances of each other data centre that are notified of changes; one of them may be down.
  static constexpr std::size_t kRelaysPerDataCentre = 2;
  // Data centres in which an instance reads the store; two of them may be cut off from it at once.
  static constexpr std::size_t kMaxReadingDataCentres = 3;
  static constexpr std::size_t kUnknownFleetSize = 64;
  // Time between the calls of two instances to the store while no instance reads it: of the first
  // few, some of which the store may refuse, and of the others, which call a store that is probably
  // down.
  static constexpr Duration kEarlyReadInterval = std::chrono::milliseconds(100);
  static constexpr Duration kLaterReadInterval = std::chrono::milliseconds(400);
  static constexpr std::int64_t kEarlyReaders = 4;
  // Delay of the calls from a data centre that is not among the first kMaxReadingDataCentres.
  static constexpr Duration kStandbyDataCentreDelay = std::chrono::milliseconds(1000);
  // Time from the first heartbeat until an instance with a faster link may take over reading the
  // store: by then it knows the others of its data centre.
  static constexpr Duration kReaderSettleTime = std::chrono::seconds(5);
  // Longest time until an instance checks again whether it should read the store.
  static constexpr Duration kReadCheckInterval = std::chrono::milliseconds(200);

 private:
  struct PeerEntry {
    FleetMember member;
    // When the heartbeat of the instance last advanced here.
    Instant last_heartbeat_at;
    Instant stopped_at;
    // AddressBits and RecordDigest of `member`, cached because they are sent many times a second.
    std::uint32_t address = 0;
    std::uint16_t record_digest = 0;
  };

  bool IsLive(const PeerEntry& peer_entry, Instant now) const;
  // Removes the entry of an instance that has timed out if there are kMaxPeers. Returns whether
  // there is room for one more. Linear.
  bool MakeRoomForPeer(Instant now);
  // Whether forwarded heartbeats of that data centre can be recorded.
  bool HasRoomForForwarded(const DataCentre& from) const;
  static PeerEntry PeerEntryOf(const FleetMember& member, Instant now);
  static FleetHeartbeat HeartbeatOf(const PeerEntry& peer_entry);
  // Whether to request the record of that instance now; true records that it is requested.
  bool TryAcquireRecordRequest(const std::string& ip, Instant now);
  // Order in which instances read the store, lowest first: those with faster links, since the
  // others of the data centre copy from the reader over its link.
  static std::pair<std::int64_t, std::uint64_t> ReaderRank(const FleetMember& member);
  std::size_t LocalRank(Instant now) const;
  // Other data centres with a live store reader, and the number of them that rank before this one.
  std::set<DataCentre> OtherReadingDataCentres(Instant now) const;
  std::size_t ReadingDataCentresAhead(Instant now) const;
  // Position of this instance among the live ones of its data centre in the order of ReaderRank.
  struct ReaderPosition {
    std::int64_t instances_ahead = 0;
    // Includes this instance.
    std::int64_t instances = 1;
  };
  ReaderPosition FindReaderPosition(Instant now) const;
  // Whether this data centre is one of those that should read the store when all of them can.
  bool IsReadingDataCentre(Instant now) const;
  std::string TakeRandom(std::vector<std::string>* ips);
  void RetainRecentlyActive(std::vector<std::string>* ips, Instant now) const;

  FleetMember self_;
  Random random_;
  std::map<std::string, PeerEntry> peers_;
  Instant no_room_until_ = Instant::min();
  // When heartbeats of another data centre were last forwarded within this one.
  std::map<DataCentre, Instant> forwarded_at_;
  // When the record of an instance was last requested.
  std::map<std::string, Instant> record_requested_at_;
  // Number of live peers of this data centre, as of the last heartbeat.
  std::size_t local_peer_count_ = 0;
  Instant first_heartbeat_ = Instant::max();
  // Since when this instance should read the store, and the last round in which it called it.
  Instant read_rounds_started_ = Instant::max();
  std::int64_t last_read_round_ = -1;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_TABLE_H_
