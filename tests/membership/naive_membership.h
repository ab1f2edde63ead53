#ifndef PRIMROSEWEIR_TESTS_MEMBERSHIP_NAIVE_MEMBERSHIP_H_
#define PRIMROSEWEIR_TESTS_MEMBERSHIP_NAIVE_MEMBERSHIP_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "primroseweir/membership/membership_table.h"

namespace primroseweir {

// Reference implementation of MembershipTable without incremental state: records every call and
// replays the whole history for each query. Times are whole milliseconds since the start.
class NaiveMembership {
 public:
  struct KnownMember {
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    std::uint64_t seat = 0;
    MemberState state = MemberState::kAlive;
  };

  NaiveMembership(Member self, MembershipTimeouts timeouts) : self_(self), timeouts_(timeouts) {}

  void Receive(const MemberRecord& record, Duration waited, Duration at) {
    history_.push_back({record, waited, at, false});
  }
  void Tick(Duration at) { history_.push_back({{}, {}, at, true}); }

  // Returns the members other than this one, ordered by (id, incarnation).
  std::vector<KnownMember> Members() const {
    std::vector<KnownMember> members;
    for (const auto& [key, entry] : Replay()) {
      members.push_back({key.first, key.second, entry.record.heartbeat,
                         entry.record.member.seat.value(),
                         StateOf(entry, ListeningTimeAt(LastCallTime()))});
    }
    return members;
  }

  bool IsSeatTaken() const {
    for (const KnownMember& known : Members()) {
      const bool same_live_seat =
          known.seat == self_.seat.value() && known.state != MemberState::kDead;
      const auto self_key = std::make_pair(self_.incarnation.value(), self_.id.value());
      if (same_live_seat && std::make_pair(known.incarnation, known.id) < self_key) return true;
    }
    return false;
  }

 private:
  struct Call {
    MemberRecord record;
    Duration waited;
    Duration at;
    bool is_tick;
  };
  struct Entry {
    MemberRecord record;
    // Listening time at which the member sent its newest heartbeat.
    Duration last_heartbeat_at;
    bool superseded = false;
  };
  using Entries = std::map<std::pair<std::string, std::uint64_t>, Entry>;

  Duration LastCallTime() const { return history_.empty() ? Duration::zero() : history_.back().at; }

  // Returns the time until `at` during which the process was listening.
  Duration ListeningTimeAt(Duration at) const {
    Duration listening_time{};
    Duration previous{};
    for (const Call& call : history_) {
      if (call.at > at) break;
      const Duration step = call.at - previous;
      if (step <= timeouts_.max_step) listening_time += step;
      previous = call.at;
    }
    return listening_time;
  }

  MemberState StateOf(const Entry& entry, Duration listening_time) const {
    const bool declared_dead = entry.superseded || entry.record.member.state == MemberState::kDead;
    const Duration time_since_heartbeat = listening_time - entry.last_heartbeat_at;
    if (declared_dead || time_since_heartbeat >= timeouts_.dead) return MemberState::kDead;
    if (entry.record.member.state == MemberState::kLeaving) return MemberState::kLeaving;
    return time_since_heartbeat >= timeouts_.suspect ? MemberState::kSuspect : MemberState::kAlive;
  }

  Entries Replay() const {
    Entries entries;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> tombstones;
    for (const Call& call : history_) {
      const Duration listening_time = ListeningTimeAt(call.at);
      if (!call.is_tick) {
        Apply(call, listening_time, tombstones, &entries);
        continue;
      }
      for (auto entry = entries.begin(); entry != entries.end();) {
        const Duration time_since_heartbeat = listening_time - entry->second.last_heartbeat_at;
        if (StateOf(entry->second, listening_time) != MemberState::kDead ||
            time_since_heartbeat < timeouts_.dead + timeouts_.removed) {
          ++entry;
          continue;
        }
        tombstones[entry->first] = entry->second.record.heartbeat;
        entry = entries.erase(entry);
      }
    }
    return entries;
  }

  // Returns the state that the member declared: suspect is never declared by the member itself. An
  // earlier incarnation at this instance's address has ended, since this one could bind the
  // address.
  MemberState DeclaredState(const MemberRecord& record) const {
    const Member& member = record.member;
    if (member.id == self_.id && member.incarnation < self_.incarnation &&
        member.peer_address == self_.peer_address) {
      return MemberState::kDead;
    }
    const MemberState state = member.state;
    return state == MemberState::kSuspect ? MemberState::kAlive : state;
  }

  template <typename Tombstones>
  void Apply(const Call& call, Duration listening_time, const Tombstones& tombstones,
             Entries* entries) const {
    const Member& member = call.record.member;
    if (member.id == self_.id && member.incarnation == self_.incarnation) return;
    const auto key = std::make_pair(member.id.value(), member.incarnation.value());
    const auto tombstone = tombstones.find(key);
    if (tombstone != tombstones.end() && call.record.heartbeat <= tombstone->second) return;
    Entry entry{call.record, listening_time - call.record.age - call.waited, false};
    entry.record.member.state = DeclaredState(call.record);
    const auto known = entries->find(key);
    if (known != entries->end()) {
      const MemberState before = known->second.record.member.state;
      const MemberState after = std::max(DeclaredState(call.record), before);
      if (call.record.heartbeat > known->second.record.heartbeat) {
        known->second.last_heartbeat_at =
            std::max(known->second.last_heartbeat_at, entry.last_heartbeat_at);
        known->second.record = call.record;
      }
      known->second.record.member.state = after;
      return;
    }
    if (StateOf(entry, listening_time) == MemberState::kDead) return;
    (*entries)[key] = entry;
    for (auto& [other, other_entry] : *entries) {
      const bool earlier = other.first == key.first && other.second < key.second;
      const bool same_address = other_entry.record.member.peer_address == member.peer_address;
      if (earlier && same_address) other_entry.superseded = true;
    }
  }

  const Member self_;
  const MembershipTimeouts timeouts_;
  std::vector<Call> history_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_MEMBERSHIP_NAIVE_MEMBERSHIP_H_
