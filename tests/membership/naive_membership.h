#ifndef PRIMROSEWEIR_TESTS_MEMBERSHIP_NAIVE_MEMBERSHIP_H_
#define PRIMROSEWEIR_TESTS_MEMBERSHIP_NAIVE_MEMBERSHIP_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "primroseweir/membership/membership_table.h"

namespace primroseweir {

// The rules of MembershipTable without incremental state: keeps every call and replays the whole
// history for each question. Times are whole milliseconds since the start.
class NaiveMembership {
 public:
  struct Known {
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

  // Members other than this one, by (id, incarnation).
  std::vector<Known> Members() const {
    std::vector<Known> members;
    for (const auto& [key, fact] : Replay()) {
      members.push_back({key.first, key.second, fact.record.heartbeat,
                         fact.record.member.seat.value(), StateOf(fact, ListenedAt(Last()))});
    }
    return members;
  }

  bool SeatTaken() const {
    for (const Known& known : Members()) {
      const bool same = known.seat == self_.seat.value() && known.state != MemberState::kDead;
      const auto own = std::make_pair(self_.incarnation.value(), self_.id.value());
      if (same && std::make_pair(known.incarnation, known.id) < own) return true;
    }
    return false;
  }

 private:
  struct Call {
    MemberRecord record;
    Duration waited;
    Duration at;
    bool tick;
  };
  struct Fact {
    MemberRecord record;
    // Listening time of the newest heartbeat.
    Duration heard;
    bool ended = false;
  };
  using Facts = std::map<std::pair<std::string, std::uint64_t>, Fact>;

  Duration Last() const { return history_.empty() ? Duration::zero() : history_.back().at; }

  // Time before `at` in which the process was listening.
  Duration ListenedAt(Duration at) const {
    Duration listened{};
    Duration previous{};
    for (const Call& call : history_) {
      if (call.at > at) break;
      const Duration step = call.at - previous;
      if (step <= timeouts_.max_step) listened += step;
      previous = call.at;
    }
    return listened;
  }

  MemberState StateOf(const Fact& fact, Duration listened) const {
    const bool declared_dead = fact.ended || fact.record.member.state == MemberState::kDead;
    const Duration silence = listened - fact.heard;
    if (declared_dead || silence >= timeouts_.dead) return MemberState::kDead;
    if (fact.record.member.state == MemberState::kLeaving) return MemberState::kLeaving;
    return silence >= timeouts_.suspect ? MemberState::kSuspect : MemberState::kAlive;
  }

  Facts Replay() const {
    Facts facts;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> removed;
    for (const Call& call : history_) {
      const Duration listened = ListenedAt(call.at);
      if (!call.tick) {
        Apply(call, listened, removed, &facts);
        continue;
      }
      for (auto fact = facts.begin(); fact != facts.end();) {
        const Duration silence = listened - fact->second.heard;
        if (StateOf(fact->second, listened) != MemberState::kDead ||
            silence < timeouts_.dead + timeouts_.removed) {
          ++fact;
          continue;
        }
        removed[fact->first] = fact->second.record.heartbeat;
        fact = facts.erase(fact);
      }
    }
    return facts;
  }

  // Suspicion is not declared by the member. An earlier run at the own address has ended, since
  // this one could bind it.
  MemberState Declared(const MemberRecord& record) const {
    const Member& member = record.member;
    if (member.id == self_.id && member.incarnation < self_.incarnation &&
        member.peer_address == self_.peer_address) {
      return MemberState::kDead;
    }
    const MemberState state = member.state;
    return state == MemberState::kSuspect ? MemberState::kAlive : state;
  }

  template <typename Forgotten>
  void Apply(const Call& call, Duration listened, const Forgotten& removed, Facts* facts) const {
    const Member& member = call.record.member;
    if (member.id == self_.id && member.incarnation == self_.incarnation) return;
    const auto key = std::make_pair(member.id.value(), member.incarnation.value());
    const auto gone = removed.find(key);
    if (gone != removed.end() && call.record.heartbeat <= gone->second) return;
    Fact fact{call.record, listened - call.record.age - call.waited, false};
    fact.record.member.state = Declared(call.record);
    const auto known = facts->find(key);
    if (known != facts->end()) {
      const MemberState before = known->second.record.member.state;
      const MemberState after = std::max(Declared(call.record), before);
      if (call.record.heartbeat > known->second.record.heartbeat) {
        known->second.heard = std::max(known->second.heard, fact.heard);
        known->second.record = call.record;
      }
      known->second.record.member.state = after;
      return;
    }
    if (StateOf(fact, listened) == MemberState::kDead) return;
    (*facts)[key] = fact;
    for (auto& [other, other_fact] : *facts) {
      const bool earlier = other.first == key.first && other.second < key.second;
      const bool same_place = other_fact.record.member.peer_address == member.peer_address;
      if (earlier && same_place) other_fact.ended = true;
    }
  }

  const Member self_;
  const MembershipTimeouts timeouts_;
  std::vector<Call> history_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_MEMBERSHIP_NAIVE_MEMBERSHIP_H_
