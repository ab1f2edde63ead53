#include "primroseweir/membership/gossip_controller.h"

#include <catch2/catch.hpp>

#include "membership/test_instance.h"
#include "primroseweir/base/error.h"
#include "primroseweir/peer/udp_transport.h"
#include "support/loopback.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A fleet that uses real UDP on one loopback address. Its instances alternate between two data
// centres.
class Fleet {
 public:
  explicit Fleet(std::size_t size) : ip_(RandomLoopback().ip) {
    for (std::size_t i = 0; i < size; ++i) Add();
  }

  TestInstance& Add(std::uint64_t seat = 1'000, std::uint64_t incarnation = 0) {
    TestInstanceOptions options;
    const std::size_t index = instances_.size();
    options.id = "entry-" + std::to_string(index);
    options.data_centre = index % 2 == 0 ? "krems" : "melk";
    options.seat = seat == 1'000 ? index : seat;
    options.incarnation = incarnation;
    options.ip = ip_;
    if (!instances_.empty()) options.seeds.push_back(instances_.front()->address());
    instances_.push_back(std::make_unique<TestInstance>(options, &network_));
    REQUIRE(instances_.back()->Start().ok());
    return *instances_.back();
  }

  TestInstance& operator[](std::size_t index) { return *instances_[index]; }
  std::size_t size() const { return instances_.size(); }
  Network& network() { return network_; }

  bool WaitForAll(const std::function<bool(TestInstance&)>& condition, Duration timeout) {
    return WaitFor(
        [this, &condition] {
          return std::all_of(instances_.begin(), instances_.end(),
                             [&condition](const auto& instance) { return condition(*instance); });
        },
        timeout);
  }
  bool WaitForAllAlive(std::size_t alive, Duration timeout) {
    return WaitForAll(
        [alive](TestInstance& instance) {
          return instance.CountInState(MemberState::kAlive) == alive;
        },
        timeout);
  }
  // Disconnects the first `count` instances from the others.
  void Partition(std::size_t count) {
    for (std::size_t a = 0; a < count; ++a) {
      for (std::size_t b = count; b < size(); ++b) {
        network_.Disconnect(instances_[a]->address(), instances_[b]->address());
      }
    }
  }

 private:
  const std::string ip_;
  Network network_;
  std::vector<std::unique_ptr<TestInstance>> instances_;
};

// Guards against instances that discover only their seeds.
TEST_CASE("all instances discover each other through one seed") {
  Fleet fleet(8);
  CHECK(fleet.WaitForAllAlive(8, seconds(5)));
}

// Guards against a crashed instance that stays in the membership as alive.
TEST_CASE("a crashed instance is dead three seconds after its last heartbeat") {
  Fleet fleet(5);
  REQUIRE(fleet.WaitForAllAlive(5, seconds(5)));
  fleet[4].Crash();
  const Instant crashed_at = MonotonicNow();
  REQUIRE(WaitFor([&] { return fleet[0].CountInState(MemberState::kSuspect) == 1; }, seconds(3)));
  CHECK(MonotonicNow() - crashed_at >= milliseconds(700));
  REQUIRE(WaitFor([&] { return fleet[0].CountInState(MemberState::kDead) == 1; }, seconds(5)));
  CHECK(MonotonicNow() - crashed_at >= milliseconds(2'700));
  CHECK(MonotonicNow() - crashed_at <= milliseconds(4'500));
}

// Guards against a planned stop that the peers detect only by a heartbeat timeout.
TEST_CASE("leaving and stopping reach the peers within a second") {
  Fleet fleet(5);
  REQUIRE(fleet.WaitForAllAlive(5, seconds(5)));
  fleet[2].controller().DeclareLeaving();
  CHECK(fleet.WaitForAll([](TestInstance& i) { return i.CountInState(MemberState::kLeaving) == 1; },
                         seconds(1)));
  fleet[2].controller().Stop();
  CHECK(WaitFor([&] { return fleet[0].CountInState(MemberState::kDead) == 1; }, seconds(1)));
}

// Guards against a configuration change that does not spread beyond the instance that read it.
TEST_CASE("a changed configuration reaches all instances", "[config-in-force]") {
  Fleet fleet(8);
  REQUIRE(fleet.WaitForAllAlive(8, seconds(5)));
  fleet[3].SetValue("text", 7, "{\"services\":[]}");
  fleet[3].controller().SendUrgent({});
  CHECK(fleet.WaitForAll([](TestInstance& i) { return i.Value("text") == "{\"services\":[]}"; },
                         seconds(5)));
  // Guards against instances that keep different keys because their highest revisions are equal.
  fleet[5].SetValue("declarations", 5, "{\"out\":[]}");
  CHECK(fleet.WaitForAll([](TestInstance& i) { return i.Value("declarations") == "{\"out\":[]}"; },
                         seconds(10)));
}

// Guards against a new instance that starts without the fleet's configuration and observations.
TEST_CASE("a new instance fetches configuration and epochs from a seed before Start returns",
          "[config-in-force][cold-start]") {
  Fleet fleet(1);
  fleet[0].SetValue("text", 9, "x");
  fleet[0].RaiseEpoch("ib-1", 6);
  TestInstance& added = fleet.Add();
  CHECK(added.Value("text") == "x");
  CHECK(added.EpochOf("ib-1") == 6);
}

// Guards against a restarted upstream of which only one instance knows.
TEST_CASE("an epoch change and a crash strike reach all instances", "[cold-start]") {
  Fleet fleet(8);
  REQUIRE(fleet.WaitForAllAlive(8, seconds(5)));
  fleet[6].RaiseEpoch("ib-7", 3);
  CHECK(fleet.WaitForAll([](TestInstance& i) { return i.EpochOf("ib-7") == 3; }, seconds(2)));
  fleet[1].controller().SendUrgent(
      {{}, {CrashStrike{42, UpstreamId("ib-1"), milliseconds(5), false}}});
  std::size_t reached = 0;
  CHECK(WaitFor(
      [&] {
        reached = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) reached += fleet[i].StrikeCount();
        return reached >= 7;
      },
      seconds(2)));
}

// Guards against the two sides of a network partition not rejoining after it, and against one of
// them reverting its configuration.
TEST_CASE("both sides of a network partition converge after it ends", "[config-in-force]") {
  Fleet fleet(6);
  REQUIRE(fleet.WaitForAllAlive(6, seconds(5)));
  fleet.Partition(3);
  REQUIRE(WaitFor([&] { return fleet[0].CountInState(MemberState::kDead) == 3; }, seconds(6)));
  REQUIRE(WaitFor([&] { return fleet[5].CountInState(MemberState::kDead) == 3; }, seconds(6)));
  fleet[4].SetValue("text", 21, "new");
  fleet[0].RaiseEpoch("ib-2", 8);
  fleet.network().ReconnectAll();
  CHECK(fleet.WaitForAllAlive(6, seconds(6)));
  CHECK(fleet.WaitForAll([](TestInstance& i) { return i.Value("text") == "new"; }, seconds(5)));
  CHECK(fleet.WaitForAll([](TestInstance& i) { return i.EpochOf("ib-2") == 8; }, seconds(5)));
}

// Guards against two processes that both use one seat's connections.
TEST_CASE(
    "the younger process of a duplicate seat has seat_taken set until the older one has stopped") {
  Fleet fleet(3);
  REQUIRE(fleet.WaitForAllAlive(3, seconds(5)));
  TestInstance& younger = fleet.Add(1);
  CHECK(WaitFor([&] { return younger.controller().View()->is_seat_taken; }, seconds(2)));
  CHECK(!fleet[1].controller().View()->is_seat_taken);
  fleet[1].controller().Stop();
  CHECK(WaitFor([&] { return !younger.controller().View()->is_seat_taken; }, seconds(2)));
}

// ---- RefreshNow ----

TEST_CASE("RefreshNow returns a peer's revision and fetches its configuration") {
  Fleet fleet(3);
  REQUIRE(fleet.WaitForAllAlive(3, seconds(5)));
  fleet[0].SetValue("declarations", 30, "out");
  fleet[1].SetValue("declarations", 30, "out");
  const auto revision = fleet[2].controller().RefreshNow(milliseconds(500));
  REQUIRE(revision.ok());
  CHECK(*revision == Revision(30));
  CHECK(fleet[2].Value("declarations") == "out");
}

TEST_CASE("RefreshNow fails at its timeout when no peer responds") {
  Fleet fleet(2);
  REQUIRE(fleet.WaitForAllAlive(2, seconds(5)));
  fleet.Partition(1);
  const Instant begin = MonotonicNow();
  const auto revision = fleet[1].controller().RefreshNow(milliseconds(200));
  CHECK(revision.status().code() == absl::StatusCode::kDeadlineExceeded);
  CHECK(MonotonicNow() - begin >= milliseconds(200));
  CHECK(MonotonicNow() - begin < milliseconds(600));
}

// ---- hostile input ----

// Guards against a process without the fleet key that changes the membership.
TEST_CASE("datagrams without a valid signature are refused and counted") {
  Fleet fleet(2);
  REQUIRE(fleet.WaitForAllAlive(2, seconds(5)));
  auto foreign_sender = UdpTransport::Bind({fleet[0].address().ip, 0});
  REQUIRE(foreign_sender.ok());
  for (int i = 0; i < 50; ++i) (*foreign_sender)->Send(fleet[0].address(), std::string(300, 'x'));
  CHECK(
      WaitFor([&] { return fleet[0].controller().traffic().datagrams_refused == 50; }, seconds(2)));
  CHECK(fleet[0].controller().View()->members.size() == 2);
}

TEST_CASE("Start returns Unavailable when the peer port is in use") {
  Fleet fleet(1);
  GossipSettings settings;
  settings.self.id = InstanceId("entry-9");
  settings.self.incarnation = Incarnation(1);
  settings.self.data_centre = DataCentre("krems");
  settings.self.peer_address = fleet[0].address();
  settings.fleet_key = "k";
  EventLog events("entry-9");
  GossipController second(settings, {}, &events);
  const absl::Status status = second.Start();
  CHECK(status.code() == absl::StatusCode::kUnavailable);
  CHECK(OriginOf(status).peer == fleet[0].address().ToString());
}

}  // namespace
}  // namespace primroseweir
