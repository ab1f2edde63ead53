#include "primroseweir/membership/membership_table.h"

#include <catch2/catch.hpp>
#include <set>

#include "membership/naive_membership.h"
#include "primroseweir/base/random.h"
#include "support/property.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart{};

Member MemberNamed(const std::string& id, std::uint64_t incarnation, std::uint64_t seat = 0) {
  Member member;
  member.id = InstanceId(id);
  member.incarnation = Incarnation(incarnation);
  member.data_centre = DataCentre("krems");
  member.peer_address = {"10.0.0." + std::to_string(1 + seat), 9101};
  member.seat = Seat(seat);
  return member;
}

MemberRecord RecordOf(const Member& member, std::uint64_t heartbeat, Duration age = {}) {
  return {member, heartbeat, age};
}

// A table with one other member and a clock in steps of a gossip period.
struct Pair {
  Pair() : other(MemberNamed("b", 20, 1)), table(MemberNamed("a", 10), {}, kStart), now(kStart) {
    Hear();
  }
  void Hear() { table.Receive(RecordOf(other, ++heartbeat), {}, now); }
  // Silence of everybody in steps of one gossip period.
  void Pass(Duration duration) {
    const Instant end = now + duration;
    while (now < end) {
      now += milliseconds(200);
      table.Tick(now);
    }
  }
  std::vector<MemberState> States() const {
    std::vector<MemberState> states;
    for (const Member& member : table.View().members) {
      if (member.id == other.id) states.push_back(member.state);
    }
    return states;
  }
  Member other;
  MembershipTable table;
  Instant now;
  std::uint64_t heartbeat = 0;
};

using States = std::vector<MemberState>;

// ---- own earlier run ----

// Guards against a restarted instance that refuses calls, because peers still tell of its earlier
// run at the same address as of a live holder of its seat.
TEST_CASE("the own earlier run at the same address holds no seat") {
  MembershipTable table(MemberNamed("a", 10), {}, kStart);
  table.Receive(RecordOf(MemberNamed("a", 9), 70, milliseconds(100)), {}, kStart);
  CHECK_FALSE(table.View().seat_taken);
  // A run at another address may still live.
  Member elsewhere = MemberNamed("a", 8);
  elsewhere.peer_address.port = 9999;
  table.Receive(RecordOf(elsewhere, 70, milliseconds(100)), {}, kStart);
  CHECK(table.View().seat_taken);
}

// ---- failure detection ----

// Guards against limits that differ from the design page.
TEST_CASE("a silent member is suspect after 1 s, dead after 3 s and forgotten after 60 s more") {
  Pair pair;
  pair.Pass(milliseconds(800));
  CHECK(pair.States() == States{MemberState::kAlive});
  pair.Pass(milliseconds(200));
  CHECK(pair.States() == States{MemberState::kSuspect});
  pair.Pass(milliseconds(1'800));
  CHECK(pair.States() == States{MemberState::kSuspect});
  pair.Pass(milliseconds(200));
  CHECK(pair.States() == States{MemberState::kDead});
  pair.Pass(seconds(59));
  CHECK(pair.States() == States{MemberState::kDead});
  pair.Pass(seconds(1));
  CHECK(pair.States().empty());
}

// Guards against a process that takes its own pause for the death of all others.
TEST_CASE("a process that was paused listens again before it declares a member dead") {
  Pair pair;
  pair.Pass(milliseconds(400));
  pair.now += seconds(30);
  pair.table.Tick(pair.now);
  CHECK(pair.States() == States{MemberState::kAlive});
  // What it reads first are datagrams that waited in the socket during the pause.
  pair.table.Receive(RecordOf(pair.other, ++pair.heartbeat), seconds(29), pair.now);
  pair.Pass(milliseconds(600));
  CHECK(pair.States() == States{MemberState::kSuspect});
  pair.Hear();
  CHECK(pair.States() == States{MemberState::kAlive});
}

// Guards against a member that stays dead although it speaks again.
TEST_CASE("a higher heartbeat refutes suspicion and death") {
  Pair pair;
  pair.Pass(seconds(4));
  CHECK(pair.States() == States{MemberState::kDead});
  pair.table.Receive(RecordOf(pair.other, pair.heartbeat), {}, pair.now);
  CHECK(pair.States() == States{MemberState::kDead});
  pair.Hear();
  CHECK(pair.States() == States{MemberState::kAlive});
}

TEST_CASE("a member that hears of its own death raises its heartbeat above the rumour") {
  Pair pair;
  MemberRecord record = pair.table.OwnRecord();
  record.member.state = MemberState::kDead;
  record.heartbeat = 1'000;
  pair.table.Receive(record, {}, pair.now);
  CHECK(pair.table.OwnRecord().heartbeat == 1'001);
  CHECK(pair.table.OwnRecord().member.state == MemberState::kAlive);
}

// Guards against relayed records that keep a dead member alive, because each relay counts as news.
TEST_CASE("the age of a relayed record counts as silence") {
  Pair pair;
  pair.Pass(milliseconds(400));
  pair.table.Receive(RecordOf(pair.other, ++pair.heartbeat, milliseconds(300)), {}, pair.now);
  pair.Pass(milliseconds(600));
  CHECK(pair.States() == States{MemberState::kAlive});
  pair.Pass(milliseconds(200));
  CHECK(pair.States() == States{MemberState::kSuspect});
}

// Guards against replayed datagrams that bring a forgotten member back.
TEST_CASE("an old record does not bring a forgotten member back") {
  Pair pair;
  pair.Pass(seconds(70));
  REQUIRE(pair.States().empty());
  pair.table.Receive(RecordOf(pair.other, pair.heartbeat), {}, pair.now);
  CHECK(pair.States().empty());
  pair.Hear();
  CHECK(pair.States() == States{MemberState::kAlive});
}

// ---- runs, seats and leaving ----

TEST_CASE("a new run at the same address ends the earlier one at once") {
  Pair pair;
  Member next = pair.other;
  next.incarnation = Incarnation(30);
  pair.table.Receive(RecordOf(next, 1), {}, pair.now);
  CHECK(pair.States() == States{MemberState::kDead, MemberState::kAlive});
}

TEST_CASE("a new run at another address leaves the earlier one to its silence") {
  Pair pair;
  Member next = pair.other;
  next.incarnation = Incarnation(30);
  next.peer_address.port = 9'200;
  pair.table.Receive(RecordOf(next, 1), {}, pair.now);
  CHECK(pair.States() == States{MemberState::kAlive, MemberState::kAlive});
}

// Guards against two processes that both use the connections of one seat.
TEST_CASE("only the younger of two members with one seat yields") {
  MembershipTable younger(MemberNamed("a", 50, 1), {}, kStart);
  younger.Receive(RecordOf(MemberNamed("b", 20, 1), 1), {}, kStart);
  CHECK(younger.View().seat_taken);
  MembershipTable older(MemberNamed("b", 20, 1), {}, kStart);
  older.Receive(RecordOf(MemberNamed("a", 50, 1), 1), {}, kStart);
  CHECK(!older.View().seat_taken);
  Instant now = kStart;
  for (int i = 0; i < 16; ++i) younger.Tick(now += milliseconds(200));
  CHECK(!younger.View().seat_taken);
}

TEST_CASE("a leaving member stays leaving until it is dead") {
  Pair pair;
  Member leaving = pair.other;
  leaving.state = MemberState::kLeaving;
  pair.table.Receive(RecordOf(leaving, ++pair.heartbeat), {}, pair.now);
  CHECK(pair.States() == States{MemberState::kLeaving});
  pair.Pass(seconds(2));
  CHECK(pair.States() == States{MemberState::kLeaving});
  pair.Pass(seconds(1));
  CHECK(pair.States() == States{MemberState::kDead});
}

// ---- targets ----

// Guards against data centres that don't hear of each other, and against a split that never heals.
TEST_CASE("targets include another data centre and addresses that are not heard") {
  MembershipTable table(MemberNamed("a", 10), {}, kStart);
  for (std::uint64_t i = 1; i < 40; ++i) {
    table.Receive(RecordOf(MemberNamed("k" + std::to_string(i), 20, i), 1), {}, kStart);
  }
  Member remote = MemberNamed("m", 20, 50);
  remote.data_centre = DataCentre("melk");
  table.Receive(RecordOf(remote, 1), {}, kStart);
  const std::vector<SocketAddress> seeds = {{"10.9.9.9", 1}};
  Random random(3);
  int seed_contacts = 0;
  for (int i = 0; i < 100; ++i) {
    const auto targets = table.ChooseTargets(seeds, &random);
    const std::set<SocketAddress> distinct(targets.begin(), targets.end());
    CHECK(distinct.size() == targets.size());
    CHECK(distinct.count(remote.peer_address) == 1);
    seed_contacts += static_cast<int>(distinct.count(seeds[0]));
  }
  CHECK(seed_contacts == 20);
}

TEST_CASE("members lost to silence are contacted again, stopped ones are not") {
  Pair pair;
  pair.Pass(seconds(4));
  Random random(3);
  CHECK(pair.table.ChooseTargets({}, &random) ==
        std::vector<SocketAddress>{pair.other.peer_address});
  Pair stopped;
  Member dead = stopped.other;
  dead.state = MemberState::kDead;
  stopped.table.Receive(RecordOf(dead, ++stopped.heartbeat), {}, stopped.now);
  CHECK(stopped.States() == States{MemberState::kDead});
  CHECK(stopped.table.ChooseTargets({}, &random).empty());
}

// ---- generated histories against the naive version ----

MemberRecord AnyRecord() {
  const auto number = *rc::gen::inRange<std::uint64_t>(0, 3);
  const auto incarnation = *rc::gen::inRange<std::uint64_t>(9, 12);
  Member member = MemberNamed(std::string(1, static_cast<char>('a' + number)), incarnation,
                              *rc::gen::inRange<std::uint64_t>(0, 2));
  member.state = *rc::gen::weightedElement<MemberState>({{8, MemberState::kAlive},
                                                         {2, MemberState::kSuspect},
                                                         {2, MemberState::kLeaving},
                                                         {1, MemberState::kDead}});
  const Duration age = milliseconds(*rc::gen::element(0, 0, 100, 900, 2'900, 4'000));
  return RecordOf(member, *rc::gen::inRange<std::uint64_t>(0, 12), age);
}

Duration AnyStep() {
  return milliseconds(*rc::gen::element(0, 200, 200, 200, 400, 600, 700, 2'000, 30'000));
}

// Guards against incremental bookkeeping that differs from the rules. Forgetting is set to 4 s, so
// that short histories reach it.
TEST_CASE("the table agrees with a naive version on generated histories") {
  CHECK(CheckProperty("same view", [] {
    MembershipTimeouts timeouts;
    timeouts.removed = seconds(4);
    const Member self = MemberNamed("a", 10);
    MembershipTable table(self, timeouts, kStart);
    NaiveMembership naive(self, timeouts);
    Duration at{};
    const int length = *rc::gen::inRange(1, 60);
    for (int i = 0; i < length; ++i) {
      at += AnyStep();
      if (*rc::gen::inRange(0, 3) > 0) {
        const MemberRecord record = AnyRecord();
        const Duration waited = milliseconds(*rc::gen::element(0, 0, 0, 1'500));
        table.Receive(record, waited, kStart + at);
        naive.Receive(record, waited, at);
      }
      table.Tick(kStart + at);
      naive.Tick(at);
      const MembershipView view = table.View();
      const auto expected = naive.Members();
      RC_ASSERT(view.members.size() == expected.size() + 1);
      for (std::size_t m = 0; m < expected.size(); ++m) {
        const Member& member = view.members[m + 1];
        RC_ASSERT(member.id.value() == expected[m].id);
        RC_ASSERT(member.incarnation.value() == expected[m].incarnation);
        RC_ASSERT(member.state == expected[m].state);
      }
      RC_ASSERT(view.seat_taken == naive.SeatTaken());
    }
  }));
}

}  // namespace
}  // namespace primroseweir
