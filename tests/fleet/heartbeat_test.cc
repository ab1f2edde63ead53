// Tests how heartbeats spread, how much traffic they cause and when they lead to record requests.
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

// Guards against control traffic that grows with the square of the fleet: exchanging whole records,
// each of 300 instances used 160 kB a second.
TEST_CASE("heartbeats keep hundreds of instances live within the traffic limit", "[fleet]") {
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
  constexpr auto kObservationTime = seconds(20);
  for (auto time = Duration::zero(); time < kObservationTime;
       time += FleetTable::kHeartbeatInterval) {
    fleet.Run(FleetTable::kHeartbeatInterval);
    for (int i = 1; i < kInstances; i += 37) {
      REQUIRE(fleet.At(ip(i)).LivePeers(fleet.now).size() == kInstances - 1);
    }
  }
  // Target for the median instance. The busiest one may use five times as much.
  constexpr std::size_t kBytesPerSecond = 14000;
  std::vector<std::size_t> rates;
  for (const auto& [address, bytes] : fleet.bytes) {
    rates.push_back(bytes / kObservationTime.count());
  }
  std::sort(rates.begin(), rates.end());
  CHECK(rates[rates.size() / 2] <= kBytesPerSecond);
  CHECK(rates.back() <= 5 * kBytesPerSecond);
}

// Guards against callers that are sent to dead instances after most of the fleet was lost: address
// responses name instances of the same data centre, and must not name one that has been gone for
// six seconds.
TEST_CASE("lost instances of a large fleet time out within 6 s locally and 10 s elsewhere",
          "[fleet]") {
  constexpr int kInstances = 180;
  auto fleet = FleetOf(kInstances);
  fleet.Run(seconds(12));
  std::set<int> survivors;
  for (int i = 1; i <= kInstances; ++i) {
    if (i > 1 && i % 5 < 3) {
      fleet.Kill(Ip(i));
    } else {
      survivors.insert(i);
    }
  }
  fleet.Run(seconds(6));
  for (const int observer : {1, 4, 8, 13, 178}) {
    int dead = 0;
    for (const auto& ip : fleet.At(Ip(observer)).LocalPeers(fleet.now)) {
      dead += survivors.count(std::stoi(ip.substr(7))) == 0 ? 1 : 0;
    }
    CHECK(dead == 0);
  }
  fleet.Run(seconds(4));
  for (const int observer : {1, 4, 8, 13, 178}) {
    CHECK(fleet.At(Ip(observer)).LivePeers(fleet.now).size() == survivors.size() - 1);
  }
}

// Guards against heartbeats that keep an instance live although its current record is not known,
// and against one request for each heartbeat while the response is under way.
TEST_CASE("an unknown record is requested once per request interval", "[fleet]") {
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
  // A later heartbeat of the same record keeps the peer live without a request. It is above 65,536,
  // so that only its lowest bits are sent.
  const auto later = now + FleetTable::kDirectHeartbeatTimeout - milliseconds(1);
  peer.heartbeat += 5;
  const auto changes = table.ReceiveHeartbeats({heartbeat_of(peer)}, later);
  CHECK(changes.requested_records.empty());
  CHECK(changes.recovered.empty());
  CHECK(table.IsLivePeer(Ip(2), later + milliseconds(1)));
  // The peer times out and recovers.
  const auto back = later + FleetTable::kSilentPeerRetention / 2;
  CHECK_FALSE(table.IsLivePeer(Ip(2), back));
  ++peer.heartbeat;
  CHECK(table.ReceiveHeartbeats({heartbeat_of(peer)}, back).recovered ==
        std::vector<std::string>{Ip(2)});
  CHECK(table.IsLivePeer(Ip(2), back));
  // An earlier heartbeat has no effect.
  peer.heartbeat -= 3;
  CHECK(table.ReceiveHeartbeats({heartbeat_of(peer)}, back).requested_records.empty());
  peer.leaving = true;
  CHECK(table.ReceiveHeartbeats({heartbeat_of(peer)}, back).requested_records.size() == 1);
  // The table's own heartbeat is ignored, whatever its digest.
  CHECK(table.ReceiveHeartbeats({{AddressBits(Ip(1)), 1, 1}}, back).requested_records.empty());
}

// Guards against a restarted instance whose record has the digest of its earlier incarnation by
// chance.
TEST_CASE("a heartbeat far behind the known one leads to a record request", "[fleet]") {
  const Instant now(seconds(10));
  FleetTable table(MemberOf(Ip(1), "a"), 1);
  auto peer = MemberOf(Ip(2), "a");
  peer.heartbeat = 5000;
  table.Merge(peer, now);
  CHECK(table.ReceiveHeartbeats({{AddressBits(Ip(2)), RecordDigest(peer), 1}}, now)
            .requested_records.size() == 1);
}

// Guards against a record that all instances request again after each call.
TEST_CASE("a small change of the load does not change the record", "[fleet]") {
  FleetTable table(MemberOf(Ip(1), "a"), 1);
  table.SetLoad(2, 1);
  CHECK(table.self().capacity.calls_per_second == 0);
  table.SetLoad(100, 1000);
  CHECK(table.self().capacity.calls_per_second == 100);
  table.SetLoad(120, 1240);
  CHECK(table.self().capacity.calls_per_second == 100);
  CHECK(table.self().capacity.kilobytes_per_second == 1000);
  table.SetLoad(130, 700);
  CHECK(table.self().capacity.calls_per_second == 130);
  CHECK(table.self().capacity.kilobytes_per_second == 700);
  table.SetLoad(0, 0);
  CHECK(table.self().capacity.calls_per_second == 0);
}

// Guards against an instance that forgets the others during a long cut, and against one that is
// counted although it is known to have ended.
TEST_CASE("silent instances count as possibly running unless they have ended", "[fleet]") {
  Instant now(seconds(10));
  FleetTable table(MemberOf(Ip(1), "a"), 1);
  auto peer = MemberOf(Ip(2), "a");
  table.Merge(peer, now);
  table.Merge(MemberOf(Ip(3), "a"), now);
  CHECK(table.Count(now).live == 3);
  now += FleetTable::kPeakSizeWindow * 2;
  CHECK(table.Count(now).live == 1);
  CHECK(table.Count(now).possible == 3);
  CHECK(table.SilentPeers(now).size() == 2);
  table.RecordStopped(Ip(2), now);
  CHECK(table.Count(now).possible == 2);
  CHECK(table.SilentPeers(now) == std::vector<std::string>{Ip(3)});
  now += seconds(1);
  ++peer.heartbeat;
  table.Merge(peer, now);
  CHECK(table.Count(now).live == 2);
  CHECK(table.Count(now).possible == 3);
}

}  // namespace
}  // namespace primroseweir
