#include "primroseweir/gateway/fleet_service.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet_service_fixture.h"
#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/published/published_cache.h"
#include "support/flood_server.h"

namespace primroseweir::testing {
namespace {

// Guards against instances that receive heartbeats of others but never get their records.
TEST_CASE("an instance requests records that it lacks, and responds to such requests", "[fleet]") {
  ServiceFixture fixture;
  fixture.Start();
  auto& peer = fixture.AddPeer("here");
  const auto third_member = MakeMember("127.9.9.9", "there");
  FleetMessage heartbeat_message;
  heartbeat_message.heartbeats = {HeartbeatOf(third_member)};
  peer.Send(fixture.ip(), heartbeat_message);
  CHECK(fixture.WaitUntil([&] {
    return HasMessage(peer, [&](const auto& m) {
      return m.requested_records == std::vector<std::string>{third_member.ip};
    });
  }));
  FleetMessage record_message;
  record_message.members = {third_member};
  peer.Send(fixture.ip(), record_message);
  FleetMessage record_request;
  record_request.requested_records = {third_member.ip};
  peer.Send(fixture.ip(), record_request);
  CHECK(fixture.WaitUntil([&] {
    return HasMessage(peer, [&](const auto& m) {
      return m.members.size() == 2 && m.members[1].ip == third_member.ip &&
             m.members[1].data_centre == third_member.data_centre;
    });
  }));
}

// Guards against a data centre in which only one instance receives heartbeats from other ones.
TEST_CASE("heartbeats of another data centre are forwarded to local peers", "[fleet]") {
  ServiceFixture fixture;
  fixture.Start();
  auto& local_peer = fixture.AddPeer("here");
  auto& remote_peer = fixture.AddPeer("there");
  local_peer.Send(fixture.ip());
  REQUIRE(fixture.WaitUntil([&] { return !local_peer.messages().empty(); }));
  const auto other_remote_member = MakeMember("127.9.9.8", "there");
  FleetMessage heartbeat_message;
  heartbeat_message.heartbeats = {HeartbeatOf(other_remote_member),
                                  HeartbeatOf(local_peer.member())};
  remote_peer.Send(fixture.ip(), heartbeat_message);
  CHECK(fixture.WaitUntil([&] {
    return HasMessage(local_peer, [&](const auto& m) {
      return m.forwarded && m.members.size() == 2 && m.members[1].ip == remote_peer.member().ip &&
             m.heartbeats == std::vector<FleetHeartbeat>{HeartbeatOf(other_remote_member)};
    });
  }));
}

// Guards against instances of several data centres that fill the same upstreams, each without
// knowing of the others' calls.
TEST_CASE("load reports reach other data centres only while a service is short of room",
          "[fleet]") {
  const std::uint32_t slots = GENERATE(1, 8);
  ServiceFixture fixture;
  fixture.gateway_fixture().AddUpstream([](const Request&) { return Reply{}; }, "here", slots);
  fixture.gateway_fixture().Apply(CallKind::kIdempotent);
  fixture.Start();
  auto& local_peer = fixture.AddPeer("here");
  auto& remote_peer = fixture.AddPeer("there");
  local_peer.Send(fixture.ip());
  remote_peer.Send(fixture.ip());
  REQUIRE(fixture.WaitUntil([&] { return !remote_peer.messages().empty(); }));
  const auto call = fixture.gateway_fixture().StartCall();
  const auto has_load = [](const FleetMessage& m) { return !m.load.upstream_loads.empty(); };
  REQUIRE(fixture.WaitUntil([&] { return HasMessage(local_peer, has_load); }));
  const bool is_tight = slots == 1;
  CHECK(fixture.WaitUntil([&] { return HasMessage(remote_peer, has_load); },
                          std::chrono::milliseconds(300)) == is_tight);
}

// Guards against hundreds of instances that all read the store after a power failure: the responses
// filled the store's link for half a second, which delayed the instances that callers use (incident
// inc-b6b9: the median instance had the state in force 191 ms after the start).
TEST_CASE("instances with slow links delay their first read of the store", "[fleet]") {
  const auto now = EventLoop::Now();
  const auto time_until_first_read = [](ServiceFixture* fixture, Instant at) {
    return fixture->service().TimeUntilFirstRead(at);
  };
  ServiceFixture fast;
  fast.Start();
  CHECK(time_until_first_read(&fast, now + std::chrono::milliseconds(10)) == Duration::zero());
  ServiceFixture slow;
  slow.link_kilobytes_per_second = 2500;
  slow.Start();
  // The state would take 102 ms on this link.
  CHECK(time_until_first_read(&slow, now + std::chrono::milliseconds(95)) > Duration::zero());
  CHECK(time_until_first_read(&slow, now + std::chrono::milliseconds(200)) == Duration::zero());
  // Waits for the snapshot of a peer that has the state, but only for kFirstSnapshotTimeout.
  auto& peer = slow.AddPeer("here");
  peer.member().published_revision = Revision(9);
  peer.Send(slow.ip());
  REQUIRE(slow.WaitUntil([&] { return slow.service().has_received_from_peer(); }));
  CHECK(time_until_first_read(&slow, now + std::chrono::milliseconds(300)) > Duration::zero());
  CHECK(time_until_first_read(&slow, now + FleetService::kFirstSnapshotTimeout * 3) ==
        Duration::zero());
  // A seed reads at once: other instances contact it first, so it must have the state.
  ServiceFixture seed;
  seed.link_kilobytes_per_second = 1250;
  seed.seeds = {seed.ip()};
  seed.Start();
  CHECK(time_until_first_read(&seed, now) == Duration::zero());
}

// Guards against a faulty peer that sends its snapshot byte by byte: this instance would keep its
// old state until the peer ends.
TEST_CASE("a peer's snapshot that arrives too slowly is abandoned after its maximum time",
          "[fleet]") {
  ServiceFixture fixture;
  FloodServer server(&fixture.loop(), "HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n", "x",
                     std::chrono::milliseconds(200));
  fixture.Start(server.address().port);
  auto& peer = fixture.AddPeer("here", server.address().ip);
  peer.member().published_revision = Revision(9);
  Timer heartbeat(&fixture.loop(), [&] { peer.Send(fixture.ip()); });
  heartbeat.Repeat(FleetTable::kHeartbeatInterval);
  CHECK_FALSE(fixture.WaitUntil([&] { return server.ended() > 0; },
                                FleetService::kMaxSnapshotTime - std::chrono::seconds(1)));
  CHECK(fixture.WaitUntil([&] { return server.ended() > 0; }));
}

// Guards against instances that each serve a whole quota because they don't learn of each other's
// calls.
TEST_CASE("instances report the calls of customers with quotas to each other", "[fleet]") {
  ServiceFixture fixture;
  auto& gateway = fixture.gateway_fixture();
  gateway.AddUpstream([](const Request& r) { return Reply{FormatResponse(r, 200, "ok"), {}, {}}; });
  CustomerTable::Entry entry;
  entry.customer.name = CustomerName("a");
  entry.customer.rate = 10;
  entry.customer.burst = 10;
  entry.keys = {"key-a"};
  gateway.customers = *CustomerTable::Create({entry});
  gateway.Apply(CallKind::kIdempotent);
  const auto id = static_cast<std::uint32_t>(gateway.customers->customers()[0].hash);
  fixture.Start();
  // Makes calls, each after a report of the peer, until one has that status. Returns whether it had
  // within five seconds.
  FakePeer& peer = fixture.AddPeer("there");
  FleetMessage message;
  message.usage.emplace();
  message.usage->customers = {{id, 100, 0}};
  const auto call_until = [&](int status) {
    for (const auto end = EventLoop::Now() + std::chrono::seconds(5); EventLoop::Now() < end;) {
      peer.Send(fixture.ip(), message);
      const auto caller = gateway.StartCallWith("Authorization: Token key-a\r\n");
      RunUntil(&gateway.loop(), [&] { return caller->status() != 0 || caller->ended(); });
      if (caller->status() == status) {
        return true;
      }
    }
    return false;
  };
  // The bucket of a new instance is empty at first.
  REQUIRE(call_until(200));
  CHECK(fixture.WaitUntil([&] {
    return HasMessage(peer, [&](const auto& m) {
      return m.usage && !m.usage->customers.empty() && m.usage->customers[0].customer == id &&
             m.usage->customers[0].recently_admitted > 0;
    });
  }));
  // The peer uses up the bucket.
  message.usage->customers[0].admitted += 60;
  CHECK(call_until(429));
}

// Guards against a restarted instance that sends a request on that crashed upstreams before: no
// peer told it which ones its peers hold in quarantine.
TEST_CASE("an instance that starts gets the crash strikes in the first message of each peer",
          "[fleet]") {
  ServiceFixture fixture;
  fixture.Start();
  auto& guard = fixture.gateway_fixture().gateway().crash_guard();
  auto& peer = fixture.AddPeer("here");
  // Strikes of another peer, which make this instance one that knows them.
  FleetMessage first;
  first.known_strikes = {{{7, UpstreamId("a"), Duration::zero(), false},
                          {7, UpstreamId("b"), Duration::zero(), false}}};
  peer.Send(fixture.ip(), first);
  REQUIRE(fixture.WaitUntil([&] { return fixture.service().has_known_strikes(); }));
  CHECK(guard.Check(7, EventLoop::Now()) == CrashGuard::Classification::kQuarantined);
  const auto is_told = [](const FleetMessage& m) {
    return m.known_strikes && m.known_strikes->size() == 2 &&
           (*m.known_strikes)[0].fingerprint == 7;
  };
  auto& started = fixture.AddPeer("there");
  started.Send(fixture.ip());
  REQUIRE(fixture.WaitUntil([&] { return !started.messages().empty(); }));
  CHECK(is_told(started.messages().front()));
  // If that message was lost, the instance asks again.
  auto& asking = fixture.AddPeer("there");
  asking.Send(fixture.ip());
  REQUIRE(fixture.WaitUntil([&] { return !asking.messages().empty(); }));
  const auto count = asking.messages().size();
  FleetMessage request;
  request.requests_readers = true;
  asking.Send(fixture.ip(), request);
  CHECK(fixture.WaitUntil([&] {
    const auto& messages = asking.messages();
    return std::any_of(messages.begin() + static_cast<std::ptrdiff_t>(count), messages.end(),
                       is_told);
  }));
}

// Guards against instances that take each other's empty lists for those of instances that were not
// lost, when most of a fleet is restarted at once.
TEST_CASE("an instance that started sends no crash strikes before it has learnt them", "[fleet]") {
  ServiceFixture fixture;
  fixture.Start();
  auto& peer = fixture.AddPeer("here");
  peer.Send(fixture.ip());
  REQUIRE(fixture.WaitUntil([&] { return !peer.messages().empty(); }));
  CHECK_FALSE(HasMessage(peer, [](const auto& m) { return m.known_strikes.has_value(); }));
  REQUIRE_FALSE(fixture.WaitUntil([] { return false; },
                                  FleetService::kStrikesKnownTime + std::chrono::milliseconds(50)));
  auto& late = fixture.AddPeer("here");
  late.Send(fixture.ip());
  REQUIRE(fixture.WaitUntil([&] { return !late.messages().empty(); }));
  CHECK(late.messages().front().known_strikes.has_value());
}

}  // namespace
}  // namespace primroseweir::testing
