#ifndef PRIMROSEWEIR_FLEET_FLEET_TABLE_H_
#define PRIMROSEWEIR_FLEET_FLEET_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"
#include "primroseweir/fleet/fleet_member.h"

namespace primroseweir {

// The instances of the fleet, by heartbeats that spread from instance to instance. There are no
// fixed positions and no fixed size: instances are added, replaced and lost at any moment.
//
// An instance counts as live while its heartbeat advances. Within a data centre heartbeats go to
// all instances, or to some when there are many, and one instance gets all that is known; between
// data centres, where bytes are expensive, they spread slowly. For sums over the fleet the table
// also gives the highest number of instances that may be sending, which forgets slowly.
class FleetTable {
 public:
  FleetTable(const FleetMember& self, std::uint64_t seed);

  // ---- own state ----

  // Advances the own heartbeat.
  void Beat(Instant now);
  void SetLeaving(bool leaving) { self_.leaving = leaving; }
  void SetReadsStore(bool reads) { self_.reads_store = reads; }
  // Callers' load of this instance: calls and kilobytes of answers a second.
  void SetLoad(std::uint32_t calls, std::uint32_t kilobytes) {
    self_.capacity.calls = calls;
    self_.capacity.kilobytes = kilobytes;
  }
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
  std::optional<FleetMember> EarlierLife(const FleetMember& sender) const;
  // Own state and all live members, for a message. Linear.
  std::vector<FleetMember> Statements(Instant now) const;
  // Own state and that of the live instances that read the store. Linear.
  std::vector<FleetMember> ReaderStatements(Instant now) const;

  // Instances that get a message after a beat, and what it holds.
  struct Targets {
    // Only the own state.
    std::vector<std::string> brief;
    // All statements.
    std::vector<std::string> full;
  };
  // `beats` counts the beats. Includes an instance that fell silent now and then, so that two
  // halves of a healed partition find each other. Linear.
  Targets TargetsOf(std::uint64_t beats, Instant now);

  // ---- view ----

  // Live instances other than this one.
  std::vector<FleetMember> LivePeers(Instant now) const;
  bool LivePeer(const std::string& ip, Instant now) const;
  // Instances that hear of news from this one: all live ones of its data centre, and kRelays of
  // each other one, which pass it on there. Linear.
  std::vector<std::string> NewsTargets(Instant now) const;
  // Live instances of the own data centre.
  std::vector<std::string> NearPeers(Instant now) const;
  // The live peer that knows the most of the published state, one of the own data centre between
  // equals; nothing when none knows more than this instance.
  std::optional<FleetMember> MostAdvanced(Instant now) const;
  bool Near(const FleetMember& member) const { return member.data_centre == self_.data_centre; }
  // Whether this instance should read the platform's store: no live instance of its data centre
  // that the store serves does as well, and its data centre is one of those that read. The store
  // counts and prices each call, so that one instance of a data centre reads and the others follow
  // it. A reader goes on until a better one reads.
  bool ShouldReadStore(Instant now) const;
  // Time until this instance is to ask the store, zero for now. While no instance of the data
  // centre reads, they ask one after the other in the order of their rank: the next one soon, since
  // the store may turn away the one before, and all of them never at once, since the store may be
  // down. Not above kAskAgain. Takes the turn that it grants.
  Duration UntilRead(Instant now);
  // Whether this instance is to pass on each change at once: the others that read the store are
  // there for its loss.
  bool FirstReader(Instant now) const { return ReadingBefore(now) == 0; }
  // Highest number of instances, this one included, that may be sending. Before any peer was heard
  // it is kUnknownFleet: an instance that is cut off from its start can't know the number.
  std::size_t PeakSize(Instant now) const;

  static constexpr Duration kBeatInterval = std::chrono::milliseconds(250);
  // Six heartbeats, for instances that hear each other directly.
  static constexpr Duration kNearSilence = std::chrono::milliseconds(1500);
  // For instances that hear of each other through others.
  static constexpr Duration kFarSilence = std::chrono::milliseconds(4000);
  // Instances that are cut off go on sending; they count this long after they fell silent.
  static constexpr Duration kPeakMemory = std::chrono::seconds(60);
  // Silent instances are forgotten after this time.
  static constexpr Duration kForget = std::chrono::minutes(10);
  // Instances of one data centre that all send to each other.
  static constexpr std::size_t kDirect = 8;
  // Full statements after every second beat, in a data centre with more instances than that.
  static constexpr std::size_t kFullNear = 3;
  // Full statements go to another data centre after every so many beats.
  static constexpr std::uint64_t kBeatsPerFar = 4;
  // Instances of one data centre that send statements to others.
  static constexpr std::size_t kFarSpeakers = 4;
  // Instances of another data centre that are told news: one of them may be down.
  static constexpr std::size_t kRelays = 2;
  // Data centres in which an instance reads the store: two of them may be cut off from it at a
  // time.
  static constexpr std::size_t kReadingDataCentres = 3;
  static constexpr std::size_t kUnknownFleet = 64;
  // Time between two instances that ask the store while nobody reads it: the first few, of which
  // some may be turned away, and the others, which ask a store that is probably down.
  static constexpr Duration kFirstTurns = std::chrono::milliseconds(100);
  static constexpr Duration kLaterTurns = std::chrono::milliseconds(400);
  static constexpr std::int64_t kSoon = 4;
  // A data centre that is not among the first kReadingDataCentres asks this much later.
  static constexpr Duration kSpareDelay = std::chrono::milliseconds(1000);
  // Time from the first beat to that at which an instance with a better link takes the reading
  // over: by then it knows the others of its data centre.
  static constexpr Duration kSettled = std::chrono::seconds(5);
  // Longest time after which an instance looks again whether it should read.
  static constexpr Duration kAskAgain = std::chrono::milliseconds(200);

 private:
  struct Known {
    FleetMember member;
    Instant heard;
  };

  bool Live(const Known& known, Instant now) const;
  std::size_t Rank(Instant now) const;
  // Other data centres that read the store, and those of them that go before the own one.
  std::set<DataCentre> ReadingElsewhere(Instant now) const;
  std::size_t ReadingBefore(Instant now) const;
  // Live instances of the own data centre, this one included, and how many of them go before it.
  struct Place {
    std::int64_t before = 0;
    std::int64_t count = 1;
  };
  Place PlaceAsReader(Instant now) const;
  // Whether the own data centre is one of those that should read when all can.
  bool AmongReading(Instant now) const;
  std::string Pick(std::vector<std::string>* ips);

  FleetMember self_;
  Random random_;
  std::map<std::string, Known> peers_;
  // Live instances of the own data centre, as of the last beat.
  std::size_t near_ = 0;
  Instant first_beat_ = Instant::max();
  // Since when this instance should read, and the last round of turns in which it did.
  Instant turns_since_ = Instant::max();
  std::int64_t turn_taken_ = -1;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_TABLE_H_
