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

// A fleet over real UDP on one loopback address; every second instance is in another data centre.
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

  bool All(const std::function<bool(TestInstance&)>& condition, Duration timeout) {
    return WaitFor(
        [this, &condition] {
          return std::all_of(instances_.begin(), instances_.end(),
                             [&condition](const auto& instance) { return condition(*instance); });
        },
        timeout);
  }
  bool AllSee(std::size_t alive, Duration timeout) {
    return All(
        [alive](TestInstance& instance) { return instance.CountIn(MemberState::kAlive) == alive; },
        timeout);
  }
  // Cuts the first `count` instances off from the others.
  void Split(std::size_t count) {
    for (std::size_t a = 0; a < count; ++a) {
      for (std::size_t b = count; b < size(); ++b) {
        network_.Cut(instances_[a]->address(), instances_[b]->address());
      }
    }
  }

 private:
  const std::string ip_;
  Network network_;
  std::vector<std::unique_ptr<TestInstance>> instances_;
};

// Guards against instances that know only their seeds.
TEST_CASE("all instances find each other through one seed") {
  Fleet fleet(8);
  CHECK(fleet.AllSee(8, seconds(5)));
}

// Guards against a crashed instance that stays in service.
TEST_CASE("a crashed instance is dead after three seconds of silence") {
  Fleet fleet(5);
  REQUIRE(fleet.AllSee(5, seconds(5)));
  fleet[4].Crash();
  const Instant crashed = MonotonicNow();
  REQUIRE(WaitFor([&] { return fleet[0].CountIn(MemberState::kSuspect) == 1; }, seconds(3)));
  CHECK(MonotonicNow() - crashed >= milliseconds(700));
  REQUIRE(WaitFor([&] { return fleet[0].CountIn(MemberState::kDead) == 1; }, seconds(5)));
  CHECK(MonotonicNow() - crashed >= milliseconds(2'700));
  CHECK(MonotonicNow() - crashed <= milliseconds(4'500));
}

// Guards against a planned stop that others notice by silence only.
TEST_CASE("leaving and stopping are known within a second") {
  Fleet fleet(5);
  REQUIRE(fleet.AllSee(5, seconds(5)));
  fleet[2].controller().DeclareLeaving();
  CHECK(
      fleet.All([](TestInstance& i) { return i.CountIn(MemberState::kLeaving) == 1; }, seconds(1)));
  fleet[2].controller().Stop();
  CHECK(WaitFor([&] { return fleet[0].CountIn(MemberState::kDead) == 1; }, seconds(1)));
}

// Guards against a configuration that stays with the instance that read it.
TEST_CASE("a changed configuration reaches all instances", "[config-in-force]") {
  Fleet fleet(8);
  REQUIRE(fleet.AllSee(8, seconds(5)));
  fleet[3].SetValue("text", 7, "{\"services\":[]}");
  fleet[3].controller().SendUrgent({});
  CHECK(fleet.All([](TestInstance& i) { return i.Value("text") == "{\"services\":[]}"; },
                  seconds(5)));
  // Guards against instances that stay different although their revisions are equal.
  fleet[5].SetValue("declarations", 5, "{\"out\":[]}");
  CHECK(fleet.All([](TestInstance& i) { return i.Value("declarations") == "{\"out\":[]}"; },
                  seconds(10)));
}

// Guards against a new instance that starts without what the fleet knows.
TEST_CASE("a new instance takes configuration and windows from a seed",
          "[config-in-force][cold-start]") {
  Fleet fleet(1);
  fleet[0].SetValue("text", 9, "x");
  fleet[0].RaiseEpoch("ib-1", 6);
  TestInstance& added = fleet.Add();
  CHECK(added.Value("text") == "x");
  CHECK(added.EpochOf("ib-1") == 6);
}

// Guards against a cold upstream that is known to one instance only.
TEST_CASE("an epoch change and a crash strike reach all instances", "[cold-start]") {
  Fleet fleet(8);
  REQUIRE(fleet.AllSee(8, seconds(5)));
  fleet[6].RaiseEpoch("ib-7", 3);
  CHECK(fleet.All([](TestInstance& i) { return i.EpochOf("ib-7") == 3; }, seconds(2)));
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

// Guards against two sides of a split that stay apart after it, and against a configuration that
// reverts in one of them.
TEST_CASE("a split heals", "[config-in-force]") {
  Fleet fleet(6);
  REQUIRE(fleet.AllSee(6, seconds(5)));
  fleet.Split(3);
  REQUIRE(WaitFor([&] { return fleet[0].CountIn(MemberState::kDead) == 3; }, seconds(6)));
  REQUIRE(WaitFor([&] { return fleet[5].CountIn(MemberState::kDead) == 3; }, seconds(6)));
  fleet[4].SetValue("text", 21, "new");
  fleet[0].RaiseEpoch("ib-2", 8);
  fleet.network().Heal();
  CHECK(fleet.AllSee(6, seconds(6)));
  CHECK(fleet.All([](TestInstance& i) { return i.Value("text") == "new"; }, seconds(5)));
  CHECK(fleet.All([](TestInstance& i) { return i.EpochOf("ib-2") == 8; }, seconds(5)));
}

// Guards against two processes that both use the connections of one seat.
TEST_CASE("the younger process of a duplicate seat yields until the older one is gone") {
  Fleet fleet(3);
  REQUIRE(fleet.AllSee(3, seconds(5)));
  TestInstance& younger = fleet.Add(1);
  CHECK(WaitFor([&] { return younger.controller().View()->seat_taken; }, seconds(2)));
  CHECK(!fleet[1].controller().View()->seat_taken);
  fleet[1].controller().Stop();
  CHECK(WaitFor([&] { return !younger.controller().View()->seat_taken; }, seconds(2)));
}

// ---- freshness ----

TEST_CASE("RefreshNow returns a peer's revision and fetches its configuration") {
  Fleet fleet(3);
  REQUIRE(fleet.AllSee(3, seconds(5)));
  fleet[0].SetValue("declarations", 30, "out");
  fleet[1].SetValue("declarations", 30, "out");
  const auto revision = fleet[2].controller().RefreshNow(milliseconds(500));
  REQUIRE(revision.ok());
  CHECK(*revision == Revision(30));
  CHECK(fleet[2].Value("declarations") == "out");
}

TEST_CASE("RefreshNow ends at its timeout when nobody answers") {
  Fleet fleet(2);
  REQUIRE(fleet.AllSee(2, seconds(5)));
  fleet.Split(1);
  const Instant begin = MonotonicNow();
  const auto revision = fleet[1].controller().RefreshNow(milliseconds(200));
  CHECK(revision.status().code() == absl::StatusCode::kDeadlineExceeded);
  CHECK(MonotonicNow() - begin >= milliseconds(200));
  CHECK(MonotonicNow() - begin < milliseconds(600));
}

// ---- hostile input ----

// Guards against a process without the fleet key that changes the membership, and against replayed
// datagrams that bring old load reports or members back.
TEST_CASE("foreign datagrams are refused and counted") {
  Fleet fleet(2);
  REQUIRE(fleet.AllSee(2, seconds(5)));
  auto stranger = UdpTransport::Bind({fleet[0].address().ip, 0});
  REQUIRE(stranger.ok());
  for (int i = 0; i < 50; ++i) (*stranger)->Send(fleet[0].address(), std::string(300, 'x'));
  CHECK(
      WaitFor([&] { return fleet[0].controller().traffic().datagrams_refused == 50; }, seconds(2)));
  CHECK(fleet[0].controller().View()->members.size() == 2);
}

TEST_CASE("the peer port must be free") {
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
