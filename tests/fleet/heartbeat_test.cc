// Heartbeats: how they spread, what they cost, and whom they bring to ask for statements.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "fake_fleet.h"
#include "primroseweir/fleet/fleet_heartbeat.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against control traffic that grows with the square of the fleet: whole statements of 300
// instances took 160 kB a second of each (the users' sweep).
TEST_CASE("heartbeats of hundreds of instances stay small and complete", "[fleet]") {
  constexpr int kInstances = 300;
  constexpr int kDataCentres = 5;
  const auto ip = [](int i) {
    return "10.1." + std::to_string(i / 100) + "." + std::to_string(i % 100);
  };
  FakeFleet fleet;
  fleet.Add(MemberOf(FakeFleet::kSeed, "dc0"));
  for (int i = 1; i < kInstances; ++i) {
    fleet.Add(MemberOf(ip(i), "dc" + std::to_string(i % kDataCentres)));
  }
  fleet.Run(seconds(15));
  fleet.bytes.clear();
  constexpr auto kObserved = seconds(20);
  for (auto time = Duration::zero(); time < kObserved; time += FleetTable::kHeartbeatInterval) {
    fleet.Run(FleetTable::kHeartbeatInterval);
    for (int i = 1; i < kInstances; i += 37) {
      REQUIRE(fleet.At(ip(i)).LivePeers(fleet.now).size() == kInstances - 1);
    }
  }
  // The target of docs/CAPACITY.md for an instance, and five times that for the busiest one.
  constexpr std::size_t kBytesPerSecond = 14000;
  std::vector<std::size_t> rates;
  for (const auto& [address, bytes] : fleet.bytes) {
    rates.push_back(bytes / kObserved.count());
  }
  std::sort(rates.begin(), rates.end());
  CHECK(rates[rates.size() / 2] <= kBytesPerSecond);
  CHECK(rates.back() <= 5 * kBytesPerSecond);
}

// Guards against callers that are sent to instances that died with most of the fleet: address
// answers name instances of the own data centre, and must not name one that is gone for six
// seconds.
TEST_CASE("the loss of most instances of a large fleet is noticed in time", "[fleet]") {
  constexpr int kInstances = 180;
  auto fleet = FleetOf(kInstances);
  fleet.Run(seconds(12));
  std::set<int> left;
  for (int i = 1; i <= kInstances; ++i) {
    if (i > 1 && i % 5 < 3) {
      fleet.Kill(Ip(i));
    } else {
      left.insert(i);
    }
  }
  fleet.Run(seconds(6));
  for (const int own : {1, 4, 8, 13, 178}) {
    int named = 0;
    for (const auto& ip : fleet.At(Ip(own)).LocalPeers(fleet.now)) {
      named += left.count(std::stoi(ip.substr(7))) == 0 ? 1 : 0;
    }
    CHECK(named == 0);
  }
  fleet.Run(seconds(4));
  for (const int own : {1, 4, 8, 13, 178}) {
    CHECK(fleet.At(Ip(own)).LivePeers(fleet.now).size() == left.size() - 1);
  }
}

// Guards against heartbeats that are taken for those of a statement that is not known here, and
// against a question for each heartbeat while the answer is under way.
TEST_CASE("an unknown statement is asked for, once at a time", "[fleet]") {
  const Instant now(seconds(10));
  FleetTable table(MemberOf(Ip(1), "a"), 1);
  auto peer = MemberOf(Ip(2), "a");
  peer.heartbeat = 70000;
  const auto heartbeat_of = [](const FleetMember& member) {
    return FleetHeartbeat{AddressBits(member.ip), RecordDigest(member),
                          static_cast<std::uint16_t>(member.heartbeat)};
  };
  CHECK(table.ReceiveHeartbeats({heartbeat_of(peer)}, now).requested_records ==
        std::vector<std::string>{Ip(2)});
  CHECK(table.ReceiveHeartbeats({heartbeat_of(peer)}, now + milliseconds(100))
            .requested_records.empty());
  CHECK(table.ReceiveHeartbeats({heartbeat_of(peer)}, now + FleetTable::kRecordRequestInterval)
            .requested_records.size() == 1);
  CHECK_FALSE(table.IsLivePeer(Ip(2), now));
  table.Merge(peer, now);
  // The same statement, later: only the heartbeat counts, also when its lowest bits wrap.
  const auto later = now + FleetTable::kDirectHeartbeatTimeout - milliseconds(1);
  peer.heartbeat += 5;
  const auto changes = table.ReceiveHeartbeats({heartbeat_of(peer)}, later);
  CHECK(changes.requested_records.empty());
  CHECK(changes.recovered.empty());
  CHECK(table.IsLivePeer(Ip(2), later + milliseconds(1)));
  // Silent, then heard of again.
  const auto back = later + FleetTable::kSilentPeerRetention / 2;
  CHECK_FALSE(table.IsLivePeer(Ip(2), back));
  ++peer.heartbeat;
  CHECK(table.ReceiveHeartbeats({heartbeat_of(peer)}, back).recovered ==
        std::vector<std::string>{Ip(2)});
  CHECK(table.IsLivePeer(Ip(2), back));
  // An old heartbeat changes nothing.
  peer.heartbeat -= 3;
  CHECK(table.ReceiveHeartbeats({heartbeat_of(peer)}, back).requested_records.empty());
  peer.leaving = true;
  CHECK(table.ReceiveHeartbeats({heartbeat_of(peer)}, back).requested_records.size() == 1);
  // The own heartbeat as others know it.
  CHECK(table.ReceiveHeartbeats({{AddressBits(Ip(1)), 1, 1}}, back).requested_records.empty());
}

// Guards against a restarted instance whose statement has the tag of its earlier life by chance.
TEST_CASE("a heartbeat from far back belongs to a later life", "[fleet]") {
  const Instant now(seconds(10));
  FleetTable table(MemberOf(Ip(1), "a"), 1);
  auto peer = MemberOf(Ip(2), "a");
  peer.heartbeat = 5000;
  table.Merge(peer, now);
  CHECK(table.ReceiveHeartbeats({{AddressBits(Ip(2)), RecordDigest(peer), 1}}, now)
            .requested_records.size() == 1);
}

// Guards against a statement that all instances fetch anew with each call.
TEST_CASE("a small change of the load is not stated", "[fleet]") {
  FleetTable table(MemberOf(Ip(1), "a"), 1);
  table.SetLoad(2, 1);
  CHECK(table.self().capacity.calls == 0);
  table.SetLoad(100, 1000);
  CHECK(table.self().capacity.calls == 100);
  table.SetLoad(120, 1240);
  CHECK(table.self().capacity.calls == 100);
  CHECK(table.self().capacity.kilobytes == 1000);
  table.SetLoad(130, 700);
  CHECK(table.self().capacity.calls == 130);
  CHECK(table.self().capacity.kilobytes == 700);
  table.SetLoad(0, 0);
  CHECK(table.self().capacity.calls == 0);
}

}  // namespace
}  // namespace primroseweir
