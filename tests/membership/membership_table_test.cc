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

Member MakeMember(const std::string& id, std::uint64_t incarnation, std::uint64_t seat = 0) {
  Member member;
  member.id = InstanceId(id);
  member.incarnation = Incarnation(incarnation);
  member.data_centre = DataCentre("krems");
  member.peer_address = {"10.0.0." + std::to_string(1 + seat), 9101};
  member.seat = Seat(seat);
  return member;
}

MemberRecord MakeRecord(const Member& member, std::uint64_t heartbeat, Duration age = {}) {
  return {member, heartbeat, age};
}

// The table of member "a" with one other member, "b", and a clock.
struct TableFixture {
  TableFixture()
      : other(MakeMember("b", 20, 1)), table(MakeMember("a", 10), {}, kStart), now(kStart) {
    ReceiveHeartbeat();
  }
  void ReceiveHeartbeat() { table.Receive(MakeRecord(other, ++heartbeat), {}, now); }
  // Advances the clock in steps of one gossip period of 200 ms, without any heartbeat of "b".
  void AdvanceClock(Duration duration) {
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

// ---- earlier incarnation of this instance ----

// Guards against a restarted instance that refuses calls: peers still send records of its earlier
// incarnation at the same address, which then counts as a live holder of its seat.
TEST_CASE("an earlier incarnation of this instance at the same address does not hold its seat") {
  MembershipTable table(MakeMember("a", 10), {}, kStart);
  table.Receive(MakeRecord(MakeMember("a", 9), 70, milliseconds(100)), {}, kStart);
  CHECK_FALSE(table.View().is_seat_taken);
  // An incarnation at another address may still be running.
  Member other_address = MakeMember("a", 8);
  other_address.peer_address.port = 9999;
  table.Receive(MakeRecord(other_address, 70, milliseconds(100)), {}, kStart);
  CHECK(table.View().is_seat_taken);
}

// ---- failure detection ----

// Guards against timeouts that differ from the specified 1 s, 3 s and 60 s.
TEST_CASE("a member is suspect 1 s and dead 3 s after its last heartbeat, and removed 60 s later") {
  TableFixture fixture;
  fixture.AdvanceClock(milliseconds(800));
  CHECK(fixture.States() == States{MemberState::kAlive});
  fixture.AdvanceClock(milliseconds(200));
  CHECK(fixture.States() == States{MemberState::kSuspect});
  fixture.AdvanceClock(milliseconds(1'800));
  CHECK(fixture.States() == States{MemberState::kSuspect});
  fixture.AdvanceClock(milliseconds(200));
  CHECK(fixture.States() == States{MemberState::kDead});
  fixture.AdvanceClock(seconds(59));
  CHECK(fixture.States() == States{MemberState::kDead});
  fixture.AdvanceClock(seconds(1));
  CHECK(fixture.States().empty());
}

// Guards against a member that is taken for ended because its heartbeats are missing: it may be cut
// off and serving calls.
TEST_CASE("only a member that declared its end, or was restarted, has ended") {
  TableFixture silent;
  silent.AdvanceClock(seconds(4));
  REQUIRE(silent.States() == States{MemberState::kDead});
  CHECK_FALSE(silent.table.View().members.back().has_ended);
  TableFixture stopped;
  stopped.other.state = MemberState::kDead;
  stopped.ReceiveHeartbeat();
  REQUIRE(stopped.States() == States{MemberState::kDead});
  CHECK(stopped.table.View().members.back().has_ended);
  TableFixture restarted;
  restarted.AdvanceClock(seconds(4));
  restarted.table.Receive(MakeRecord(MakeMember("b", 21, 1), 1), {}, restarted.now);
  for (const Member& member : restarted.table.View().members) {
    CHECK(member.has_ended == (member.incarnation == Incarnation(20)));
  }
}

// Guards against a process that declares all other members dead because it was paused itself.
TEST_CASE("a process that was paused declares a member dead only after listening again") {
  TableFixture fixture;
  fixture.AdvanceClock(milliseconds(400));
  fixture.now += seconds(30);
  fixture.table.Tick(fixture.now);
  CHECK(fixture.States() == States{MemberState::kAlive});
  // After the pause, it first reads datagrams that waited in the socket buffer meanwhile.
  fixture.table.Receive(MakeRecord(fixture.other, ++fixture.heartbeat), seconds(29), fixture.now);
  fixture.AdvanceClock(milliseconds(600));
  CHECK(fixture.States() == States{MemberState::kSuspect});
  fixture.ReceiveHeartbeat();
  CHECK(fixture.States() == States{MemberState::kAlive});
}

// Guards against a member that stays dead although it sends heartbeats again.
TEST_CASE("a higher heartbeat makes a suspect or dead member alive again") {
  TableFixture fixture;
  fixture.AdvanceClock(seconds(4));
  CHECK(fixture.States() == States{MemberState::kDead});
  fixture.table.Receive(MakeRecord(fixture.other, fixture.heartbeat), {}, fixture.now);
  CHECK(fixture.States() == States{MemberState::kDead});
  fixture.ReceiveHeartbeat();
  CHECK(fixture.States() == States{MemberState::kAlive});
}

TEST_CASE(
    "a member that receives a record of itself as dead raises its heartbeat above that record") {
  TableFixture fixture;
  MemberRecord record = fixture.table.SelfRecord();
  record.member.state = MemberState::kDead;
  record.heartbeat = 1'000;
  fixture.table.Receive(record, {}, fixture.now);
  CHECK(fixture.table.SelfRecord().heartbeat == 1'001);
  CHECK(fixture.table.SelfRecord().member.state == MemberState::kAlive);
}

// Guards against a crashed member that is still shown as alive because each forwarded record of it
// counts as a new heartbeat.
TEST_CASE("the age of a forwarded record counts as time without a heartbeat") {
  TableFixture fixture;
  fixture.AdvanceClock(milliseconds(400));
  fixture.table.Receive(MakeRecord(fixture.other, ++fixture.heartbeat, milliseconds(300)), {},
                        fixture.now);
  fixture.AdvanceClock(milliseconds(600));
  CHECK(fixture.States() == States{MemberState::kAlive});
  fixture.AdvanceClock(milliseconds(200));
  CHECK(fixture.States() == States{MemberState::kSuspect});
}

// Guards against replayed datagrams that add a removed member again.
TEST_CASE("an old record does not add a removed member again") {
  TableFixture fixture;
  fixture.AdvanceClock(seconds(70));
  REQUIRE(fixture.States().empty());
  fixture.table.Receive(MakeRecord(fixture.other, fixture.heartbeat), {}, fixture.now);
  CHECK(fixture.States().empty());
  fixture.ReceiveHeartbeat();
  CHECK(fixture.States() == States{MemberState::kAlive});
}

// ---- incarnations, seats and leaving ----

TEST_CASE("a new incarnation at the same address makes the earlier one dead at once") {
  TableFixture fixture;
  Member successor = fixture.other;
  successor.incarnation = Incarnation(30);
  fixture.table.Receive(MakeRecord(successor, 1), {}, fixture.now);
  CHECK(fixture.States() == States{MemberState::kDead, MemberState::kAlive});
}

TEST_CASE("a new incarnation at another address leaves the earlier one alive") {
  TableFixture fixture;
  Member successor = fixture.other;
  successor.incarnation = Incarnation(30);
  successor.peer_address.port = 9'200;
  fixture.table.Receive(MakeRecord(successor, 1), {}, fixture.now);
  CHECK(fixture.States() == States{MemberState::kAlive, MemberState::kAlive});
}

// Guards against two processes that both use one seat's connections.
TEST_CASE("only the younger of two members with one seat has seat_taken set") {
  MembershipTable younger(MakeMember("a", 50, 1), {}, kStart);
  younger.Receive(MakeRecord(MakeMember("b", 20, 1), 1), {}, kStart);
  CHECK(younger.View().is_seat_taken);
  MembershipTable older(MakeMember("b", 20, 1), {}, kStart);
  older.Receive(MakeRecord(MakeMember("a", 50, 1), 1), {}, kStart);
  CHECK(!older.View().is_seat_taken);
  Instant now = kStart;
  for (int i = 0; i < 16; ++i) younger.Tick(now += milliseconds(200));
  CHECK(!younger.View().is_seat_taken);
}

TEST_CASE("a leaving member stays leaving until it is dead") {
  TableFixture fixture;
  Member leaving = fixture.other;
  leaving.state = MemberState::kLeaving;
  fixture.table.Receive(MakeRecord(leaving, ++fixture.heartbeat), {}, fixture.now);
  CHECK(fixture.States() == States{MemberState::kLeaving});
  fixture.AdvanceClock(seconds(2));
  CHECK(fixture.States() == States{MemberState::kLeaving});
  fixture.AdvanceClock(seconds(1));
  CHECK(fixture.States() == States{MemberState::kDead});
}

// ---- targets ----

// Guards against data centres that exchange no gossip, and against a network partition that never
// heals.
TEST_CASE("gossip targets include another data centre and seed addresses without a live member") {
  MembershipTable table(MakeMember("a", 10), {}, kStart);
  for (std::uint64_t i = 1; i < 40; ++i) {
    table.Receive(MakeRecord(MakeMember("k" + std::to_string(i), 20, i), 1), {}, kStart);
  }
  Member remote = MakeMember("m", 20, 50);
  remote.data_centre = DataCentre("melk");
  table.Receive(MakeRecord(remote, 1), {}, kStart);
  const std::vector<SocketAddress> seeds = {{"10.9.9.9", 1}};
  Random random(3);
  int seed_contacts = 0;
  for (int i = 0; i < 100; ++i) {
    const auto targets = table.PickGossipTargets(seeds, &random);
    const std::set<SocketAddress> distinct(targets.begin(), targets.end());
    CHECK(distinct.size() == targets.size());
    CHECK(distinct.count(remote.peer_address) == 1);
    seed_contacts += static_cast<int>(distinct.count(seeds[0]));
  }
  CHECK(seed_contacts == 20);
}

TEST_CASE("members whose heartbeats timed out are contacted again, stopped ones are not") {
  TableFixture fixture;
  fixture.AdvanceClock(seconds(4));
  Random random(3);
  CHECK(fixture.table.PickGossipTargets({}, &random) ==
        std::vector<SocketAddress>{fixture.other.peer_address});
  TableFixture stopped;
  Member dead = stopped.other;
  dead.state = MemberState::kDead;
  stopped.table.Receive(MakeRecord(dead, ++stopped.heartbeat), {}, stopped.now);
  CHECK(stopped.States() == States{MemberState::kDead});
  CHECK(stopped.table.PickGossipTargets({}, &random).empty());
}

// ---- generated call sequences against the naive version ----

MemberRecord GenerateRecord() {
  const auto number = *rc::gen::inRange<std::uint64_t>(0, 3);
  const auto incarnation = *rc::gen::inRange<std::uint64_t>(9, 12);
  Member member = MakeMember(std::string(1, static_cast<char>('a' + number)), incarnation,
                             *rc::gen::inRange<std::uint64_t>(0, 2));
  member.state = *rc::gen::weightedElement<MemberState>({{8, MemberState::kAlive},
                                                         {2, MemberState::kSuspect},
                                                         {2, MemberState::kLeaving},
                                                         {1, MemberState::kDead}});
  const Duration age = milliseconds(*rc::gen::element(0, 0, 100, 900, 2'900, 4'000));
  return MakeRecord(member, *rc::gen::inRange<std::uint64_t>(0, 12), age);
}

Duration GenerateStep() {
  return milliseconds(*rc::gen::element(0, 200, 200, 200, 400, 600, 700, 2'000, 30'000));
}

// Guards against incremental state that differs from a replay of all calls. Dead members are
// removed after 4 s, so that short sequences reach the removal.
TEST_CASE("the table agrees with a naive version on generated call sequences") {
  CHECK(CheckProperty("same view", [] {
    MembershipTimeouts timeouts;
    timeouts.removed = seconds(4);
    const Member self = MakeMember("a", 10);
    MembershipTable table(self, timeouts, kStart);
    NaiveMembership naive(self, timeouts);
    Duration at{};
    const int length = *rc::gen::inRange(1, 60);
    for (int i = 0; i < length; ++i) {
      at += GenerateStep();
      if (*rc::gen::inRange(0, 3) > 0) {
        const MemberRecord record = GenerateRecord();
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
      RC_ASSERT(view.is_seat_taken == naive.IsSeatTaken());
    }
  }));
}

}  // namespace
}  // namespace primroseweir
