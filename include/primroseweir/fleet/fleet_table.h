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

// The instances of the fleet, by heartbeats that spread from instance to instance. There are no
// fixed positions and no fixed size: instances are added, replaced and lost at any moment.
//
// An instance counts as live while its heartbeat advances. Heartbeats travel as FleetBeats, a few
// bytes each: those of a data centre from instance to instance, and from a few that speak for it to
// one instance of each other data centre, which passes them on to all there. Whole statements
// travel only to those who lack them. For sums over the fleet the table also gives the highest
// number of instances that may be sending, which forgets slowly.
//
// Load pattern: hundreds of small instances, where whole statements of all to some of them took
// more of the links and of the processors than the calls.
class FleetTable {
 public:
  FleetTable(const FleetMember& self, std::uint64_t seed);

  // ---- own state ----

  // Advances the own heartbeat.
  void AdvanceHeartbeat(Instant now);
  void SetLeaving(bool leaving) { self_.leaving = leaving; }
  void SetReadsStore(bool reads) { self_.reads_store = reads; }
  // Callers' load of this instance: calls and kilobytes of answers a second. A small change is not
  // stated, since each other instance fetches a new statement.
  void SetLoad(std::uint32_t calls, std::uint32_t kilobytes);
  void SetPublished(Revision revision) { self_.published = revision; }
  const FleetMember& self() const { return self_; }

  // ---- exchange ----

  // Takes what a peer tells of an instance; true when that life of the instance was not known as
  // live before. A statement
  // about this instance from an earlier life of it raises the own incarnation above that one, since
  // the time of day, from which incarnations start, may have stepped back in between.
  bool Merge(const FleetMember& member, Instant now);
  // What is known of an earlier life of the sender that looks newer than its own statement; it must
  // be told, or it would be ignored for as long as its clock is behind.
  std::optional<FleetMember> EarlierIncarnation(const FleetMember& sender) const;
  // The own statement, and that of the live peer that knows the most of the published state when it
  // knows more than this instance. Begins each message with heartbeats. Linear.
  std::vector<FleetMember> OwnRecords(Instant now) const;
  // Heartbeats of the live peers of the own data centre and of that of the receiver, whose
  // instances may have heard of each other only here, and of kIntroducedPeers of each other one.
  // Linear.
  std::vector<FleetHeartbeat> HeartbeatsFor(const DataCentre& receiver, Instant now) const;
  // Heartbeats of all live peers, for an instance that knows nobody. Linear.
  std::vector<FleetHeartbeat> AllHeartbeats(Instant now) const;
  // What heartbeats of a peer changed here.
  struct HeartbeatChanges {
    // Instances that were silent and are live again.
    std::vector<std::string> recovered;
    // Instances whose statement the peer knows and this one does not, at most kMaxRequestedRecords.
    std::vector<std::string> requested_records;
  };
  // Takes the heartbeats that a peer knows. O(n log n).
  HeartbeatChanges ReceiveHeartbeats(const std::vector<FleetHeartbeat>& heartbeats, Instant now);
  // Whether heartbeats of another data centre that came from there are to be passed on in the own
  // one, where others may have passed some on just now; takes the turn.
  bool TryAcquireForwardTurn(const DataCentre& from, Instant now);
  // An instance of the own data centre passed on heartbeats of that one.
  void RecordForwarded(const DataCentre& from, Instant now) { forwarded_at_[from] = now; }
  // Those of `beats` that are to be passed on in the own data centre: not those of itself. Linear.
  std::vector<FleetHeartbeat> HeartbeatsToForward(
      const std::vector<FleetHeartbeat>& heartbeats) const;
  // Own state and the statements of those of `ips` that are live.
  std::vector<FleetMember> RecordsOf(const std::vector<std::string>& ips, Instant now) const;
  // Own state and that of the live instances that read the store. Linear.
  std::vector<FleetMember> StoreReaderRecords(Instant now) const;

  // Instances that get a message after a beat, and what it holds.
  struct GossipTargets {
    // Only the own state.
    std::vector<std::string> own_record_only;
    // Heartbeats, with the data centre of the receiver.
    std::vector<std::pair<std::string, DataCentre>> heartbeats;
  };
  // `beats` counts the beats. Includes instances of other data centres, each of which passes the
  // heartbeats on in its own, and an instance that fell silent now and then, so that two halves of
  // a healed partition find each other. Linear.
  GossipTargets PickGossipTargets(std::uint64_t heartbeats, Instant now);

  // ---- view ----

  // Live instances other than this one.
  std::vector<FleetMember> LivePeers(Instant now) const;
  bool IsLivePeer(const std::string& ip, Instant now) const;
  // Instances that hear of news from this one: all live ones of its data centre, and
  // kRelaysPerDataCentre of each other one, which pass it on there. Linear.
  std::vector<std::string> ChangeTargets(Instant now) const;
  // Live instances of the own data centre.
  std::vector<std::string> LocalPeers(Instant now) const;
  // The live peer that knows the most of the published state, one of the own data centre between
  // equals; nothing when none knows more than this instance.
  std::optional<FleetMember> MostUpToDatePeer(Instant now) const;
  bool IsLocal(const FleetMember& member) const { return member.data_centre == self_.data_centre; }
  // Whether this instance should read the platform's store: no live instance of its data centre
  // that the store serves does as well, and its data centre is one of those that read. The store
  // counts and prices each call, so that one instance of a data centre reads and the others follow
  // it. A reader goes on until a better one reads.
  bool ShouldReadStore(Instant now) const;
  // Time until this instance is to ask the store, zero for now. While no instance of the data
  // centre reads, they ask one after the other in the order of their rank: the next one soon, since
  // the store may turn away the one before, and all of them never at once, since the store may be
  // down. Not above kReadCheckInterval. Takes the turn that it grants.
  Duration TimeUntilRead(Instant now);
  // Whether this instance is to pass on each change at once: the others that read the store are
  // there for its loss.
  bool IsFirstReader(Instant now) const { return ReadingDataCentresAhead(now) == 0; }
  // Highest number of instances, this one included, that may be sending. Before any peer was heard
  // it is kUnknownFleetSize: an instance that is cut off from its start can't know the number.
  std::size_t PeakSize(Instant now) const;

  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);
  // Six heartbeats, for instances that hear each other directly.
  static constexpr Duration kDirectHeartbeatTimeout = std::chrono::milliseconds(1500);
  // For instances of one data centre that hear of each other through others, six rounds of them:
  // the last heartbeats of one that died go around for two seconds more, and address answers must
  // not name it for six.
  static constexpr Duration kRelayedHeartbeatTimeout = std::chrono::milliseconds(3000);
  // For instances of other data centres.
  static constexpr Duration kRemoteHeartbeatTimeout = std::chrono::milliseconds(4000);
  // Instances that are cut off go on sending; they count this long after they fell silent.
  static constexpr Duration kPeakSizeWindow = std::chrono::seconds(60);
  // Silent instances are forgotten after this time.
  static constexpr Duration kSilentPeerRetention = std::chrono::minutes(10);
  // Instances of one data centre that all send to each other.
  static constexpr std::size_t kMaxDirectPeers = 8;
  // Instances of the own data centre that get heartbeats after every second beat, in a data centre
  // with more than kMaxDirectPeers of them.
  static constexpr std::size_t kGossipFanout = 3;
  // Instances that were heard of within this time get heartbeats rather than others.
  static constexpr Duration kRecentHeartbeatWindow = std::chrono::milliseconds(1500);
  // The instances of one data centre that speak for it send heartbeats to one instance of each
  // other one after every so many beats, in turns. Two turns may fail within
  // kRemoteHeartbeatTimeout.
  static constexpr std::uint64_t kHeartbeatsPerRemoteRound = 8;
  static constexpr std::size_t kMaxRepresentatives = 4;
  // Heartbeats of a data centre that arrive within this time of others are not passed on: usually
  // half of them, while any of the speakers may fail.
  static constexpr Duration kMinForwardInterval = std::chrono::milliseconds(700);
  // Instances of a data centre that others tell of it, until those meet it themselves.
  static constexpr std::size_t kIntroducedPeers = 2;
  // Statements that one message asks for: those of a whole data centre fill a few packets.
  static constexpr std::size_t kMaxRequestedRecords = 64;
  // A statement is asked for again after this time: the question or the answer may be lost.
  static constexpr Duration kRecordRequestInterval = std::chrono::milliseconds(400);
  // A heartbeat that lies so far back is of a later life with the same tag: instances exchange
  // heartbeats that are a few seconds old at most.
  static constexpr std::int16_t kMinHeartbeatDistance = -120;
  // Part by which the load changes before it is stated anew, and the load below which it counts as
  // none: an instance that carries a call now and then does not matter to the choice of instances.
  static constexpr double kLoadChangeThreshold = 0.25;
  static constexpr std::uint32_t kMinReportedLoad = 10;
  // Instances of another data centre that are told news: one of them may be down.
  static constexpr std::size_t kRelaysPerDataCentre = 2;
  // Data centres in which an instance reads the store: two of them may be cut off from it at a
  // time.
  static constexpr std::size_t kMaxReadingDataCentres = 3;
  static constexpr std::size_t kUnknownFleetSize = 64;
  // Time between two instances that ask the store while nobody reads it: the first few, of which
  // some may be turned away, and the others, which ask a store that is probably down.
  static constexpr Duration kFirstTurnInterval = std::chrono::milliseconds(100);
  static constexpr Duration kLaterTurnInterval = std::chrono::milliseconds(400);
  static constexpr std::int64_t kFirstTurnCount = 4;
  // A data centre that is not among the first kMaxReadingDataCentres asks this much later.
  static constexpr Duration kStandbyDataCentreDelay = std::chrono::milliseconds(1000);
  // Time from the first beat to that at which an instance with a better link takes the reading
  // over: by then it knows the others of its data centre.
  static constexpr Duration kReaderSettleTime = std::chrono::seconds(5);
  // Longest time after which an instance looks again whether it should read.
  static constexpr Duration kReadCheckInterval = std::chrono::milliseconds(200);

 private:
  struct PeerEntry {
    FleetMember member;
    Instant heard;
    // Of `member`, kept since they are told many times a second.
    std::uint32_t address = 0;
    std::uint16_t record_digest = 0;
  };

  bool IsLive(const PeerEntry& peer_entry, Instant now) const;
  static PeerEntry PeerEntryOf(const FleetMember& member, Instant now);
  static FleetHeartbeat HeartbeatOf(const PeerEntry& peer_entry);
  // Whether to ask for the statement of that instance now; takes the question.
  bool TryAcquireRecordRequest(const std::string& ip, Instant now);
  // Order in which instances read the store: those that follow copy from the reader over its link.
  static std::pair<std::int64_t, std::uint64_t> ReaderRank(const FleetMember& member);
  std::size_t Rank(Instant now) const;
  // Other data centres that read the store, and those of them that go before the own one.
  std::set<DataCentre> OtherReadingDataCentres(Instant now) const;
  std::size_t ReadingDataCentresAhead(Instant now) const;
  // Live instances of the own data centre, this one included, and how many of them go before it.
  struct ReaderPosition {
    std::int64_t before = 0;
    std::int64_t count = 1;
  };
  ReaderPosition FindReaderPosition(Instant now) const;
  // Whether the own data centre is one of those that should read when all can.
  bool IsReadingDataCentre(Instant now) const;
  std::string TakeRandom(std::vector<std::string>* ips);
  void RetainRecentlyHeard(std::vector<std::string>* ips, Instant now) const;

  FleetMember self_;
  Random random_;
  std::map<std::string, PeerEntry> peers_;
  // When heartbeats of another data centre were last passed on in the own one.
  std::map<DataCentre, Instant> forwarded_at_;
  // When the statement of an instance was last asked for.
  std::map<std::string, Instant> record_requested_at_;
  // Live instances of the own data centre, as of the last beat.
  std::size_t local_peers_ = 0;
  Instant first_heartbeat_ = Instant::max();
  // Since when this instance should read, and the last round of turns in which it did.
  Instant turns_started_ = Instant::max();
  std::int64_t last_turn_ = -1;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_TABLE_H_
