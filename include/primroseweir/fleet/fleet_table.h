#ifndef PRIMROSEWEIR_FLEET_FLEET_TABLE_H_
#define PRIMROSEWEIR_FLEET_FLEET_TABLE_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"
#include "primroseweir/fleet/fleet_member.h"

namespace primroseweir {

// The instances of the fleet, by heartbeats that spread from instance to instance. There are no
// fixed positions and no fixed size: instances are added, replaced and lost at any moment.
//
// An instance counts as live while its heartbeat advances. For sums over the fleet the table also
// gives the highest number of instances that may be sending, which forgets slowly.
class FleetTable {
 public:
  FleetTable(const FleetMember& self, std::uint64_t seed);

  // ---- own state ----

  // Advances the own heartbeat.
  void Beat(Instant now);
  void SetLeaving(bool leaving) { self_.leaving = leaving; }
  void SetPublished(Revision revision) { self_.published = revision; }
  const FleetMember& self() const { return self_; }

  // ---- exchange ----

  // Takes what a peer tells of an instance; true when the instance was not live before. A statement
  // about this instance from an earlier life of it raises the own incarnation above that one, since
  // the time of day, from which incarnations start, may have stepped back in between.
  bool Merge(const FleetMember& member, Instant now);
  // Own state and all live members, for a heartbeat message. Linear.
  std::vector<FleetMember> Statements(Instant now) const;
  // Up to kFanout instances to send the next heartbeat to: live ones, and in each call one that
  // fell silent, so that two halves of a healed partition find each other.
  std::vector<std::string> Targets(Instant now);

  // ---- view ----

  // Live instances other than this one.
  std::vector<FleetMember> LivePeers(Instant now) const;
  // Highest number of instances, this one included, that may be sending. Before any peer was heard
  // it is kUnknownFleet: an instance that is cut off from its start can't know the number.
  std::size_t PeakSize(Instant now) const;

  static constexpr Duration kBeatInterval = std::chrono::milliseconds(250);
  // Six heartbeats.
  static constexpr Duration kSilence = std::chrono::milliseconds(1500);
  // Instances that are cut off go on sending; they count this long after they fell silent.
  static constexpr Duration kPeakMemory = std::chrono::seconds(60);
  // Silent instances are forgotten after this time.
  static constexpr Duration kForget = std::chrono::minutes(10);
  static constexpr std::size_t kFanout = 6;
  static constexpr std::size_t kUnknownFleet = 64;

 private:
  struct Known {
    FleetMember member;
    Instant heard;
  };

  bool Live(const Known& known, Instant now) const { return now - known.heard < kSilence; }

  FleetMember self_;
  Random random_;
  std::map<std::string, Known> peers_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_TABLE_H_
