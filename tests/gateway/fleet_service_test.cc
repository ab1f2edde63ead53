#include "primroseweir/gateway/fleet_service.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"
#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/published/published_cache.h"
#include "support/flood_server.h"

namespace primroseweir::testing {
namespace {

constexpr std::uint16_t kDatagramPort = 39123;

FleetMember MemberOf(const std::string& ip, const std::string& data_centre) {
  FleetMember member;
  member.ip = ip;
  member.data_centre = DataCentre(data_centre);
  member.incarnation = Incarnation(7);
  return member;
}

FleetHeartbeat HeartbeatOf(const FleetMember& member) {
  return {AddressBits(member.ip), RecordDigest(member),
          static_cast<std::uint16_t>(member.heartbeat)};
}

// Another instance, as far as its datagrams go.
class FakePeer {
 public:
  FakePeer(EventLoop* loop, FleetMember member) : member_(std::move(member)), socket_(loop) {
    const auto status = socket_.Bind({member_.ip, kDatagramPort},
                                     [this](const std::string& /*ip*/, std::string_view data) {
                                       messages_.push_back(DecodeFleetMessage(data).value());
                                     });
    REQUIRE(status.ok());
  }

  // Sends a message that begins with this peer's next heartbeat.
  void Send(const std::string& to, FleetMessage message = {}) {
    ++member_.heartbeat;
    message.members.insert(message.members.begin(), member_);
    socket_.Send({to, kDatagramPort}, EncodeFleetMessage(message));
  }

  FleetMember& member() { return member_; }
  const std::vector<FleetMessage>& messages() const { return messages_; }

 private:
  FleetMember member_;
  UdpSocket socket_;
  std::vector<FleetMessage> messages_;
};

class ServiceFixture {
 public:
  ServiceFixture()
      : log_("test", open("/dev/null", O_WRONLY | O_CLOEXEC)),
        cache_("u/"),
        ip_(RandomLoopback().ip) {}

  // `snapshot_port` is that of all instances.
  void Start(std::uint16_t snapshot_port = 1) {
    FleetService::Options options;
    options.self = MemberOf(ip_, "here");
    options.datagram_port = kDatagramPort;
    options.snapshot_port = snapshot_port;
    options.self.capacity.link_kilobytes = link_kilobytes;
    options.seeds = seeds;
    service_ = std::make_unique<FleetService>(&gateway_.loop(), options, &gateway_.gateway(),
                                              &cache_, &log_, [](bool /*changed*/) {});
    REQUIRE(service_->Start().ok());
  }

  FakePeer& AddPeer(const std::string& data_centre, const std::string& ip = RandomLoopback().ip) {
    peers_.push_back(std::make_unique<FakePeer>(&gateway_.loop(), MemberOf(ip, data_centre)));
    return *peers_.back();
  }

  bool Until(const std::function<bool()>& done, Duration time = std::chrono::seconds(5)) {
    return RunUntil(&gateway_.loop(), done, time);
  }

  EventLoop& loop() { return gateway_.loop(); }
  const std::string& ip() const { return ip_; }
  FleetService& service() { return *service_; }

  std::uint32_t link_kilobytes = 125000;
  std::vector<std::string> seeds;

 private:
  GatewayFixture gateway_;
  LineLog log_;
  PublishedCache cache_;
  const std::string ip_;
  std::vector<std::unique_ptr<FakePeer>> peers_;
  std::unique_ptr<FleetService> service_;
};

template <typename Predicate>
bool AnyOf(const FakePeer& peer, Predicate predicate) {
  const auto& messages = peer.messages();
  return std::any_of(messages.begin(), messages.end(), predicate);
}

// Guards against instances that know heartbeats of others but never who those are.
TEST_CASE("an instance asks for statements that it lacks, and answers such questions", "[fleet]") {
  ServiceFixture fixture;
  fixture.Start();
  auto& peer = fixture.AddPeer("here");
  const auto third = MemberOf("127.9.9.9", "there");
  FleetMessage told;
  told.heartbeats = {HeartbeatOf(third)};
  peer.Send(fixture.ip(), told);
  CHECK(fixture.Until([&] {
    return AnyOf(peer, [&](const auto& m) {
      return m.requested_records == std::vector<std::string>{third.ip};
    });
  }));
  FleetMessage records;
  records.members = {third};
  peer.Send(fixture.ip(), records);
  FleetMessage question;
  question.requested_records = {third.ip};
  peer.Send(fixture.ip(), question);
  CHECK(fixture.Until([&] {
    return AnyOf(peer, [&](const auto& m) {
      return m.members.size() == 2 && m.members[1].ip == third.ip &&
             m.members[1].data_centre == third.data_centre;
    });
  }));
}

// Guards against a data centre of which only one instance hears of the others.
TEST_CASE("heartbeats of another data centre are passed on", "[fleet]") {
  ServiceFixture fixture;
  fixture.Start();
  auto& near = fixture.AddPeer("here");
  auto& far = fixture.AddPeer("there");
  near.Send(fixture.ip());
  REQUIRE(fixture.Until([&] { return !near.messages().empty(); }));
  const auto beside = MemberOf("127.9.9.8", "there");
  FleetMessage told;
  told.heartbeats = {HeartbeatOf(beside), HeartbeatOf(near.member())};
  far.Send(fixture.ip(), told);
  CHECK(fixture.Until([&] {
    return AnyOf(near, [&](const auto& m) {
      return m.forwarded && m.members.size() == 2 && m.members[1].ip == far.member().ip &&
             m.heartbeats == std::vector<FleetHeartbeat>{HeartbeatOf(beside)};
    });
  }));
}

// Guards against hundreds of instances that all read the store when power is back: their answers
// filled its link for half a second, and the instances that callers use waited among them (incident
// inc-b6b9: in force 191 ms after the start at the middle instance).
TEST_CASE("instances with slow links leave the first read to others", "[fleet]") {
  const auto now = EventLoop::Now();
  const auto wait = [](ServiceFixture* fixture, Instant at) {
    return fixture->service().TimeUntilFirstRead(at);
  };
  ServiceFixture fast;
  fast.Start();
  CHECK(wait(&fast, now + std::chrono::milliseconds(10)) == Duration::zero());
  ServiceFixture slow;
  slow.link_kilobytes = 2500;
  slow.Start();
  // Its link would take 102 ms.
  CHECK(wait(&slow, now + std::chrono::milliseconds(95)) > Duration::zero());
  CHECK(wait(&slow, now + std::chrono::milliseconds(200)) == Duration::zero());
  // A peer that knows the state gives it, unless that fails.
  auto& peer = slow.AddPeer("here");
  peer.member().published = Revision(9);
  peer.Send(slow.ip());
  REQUIRE(slow.Until([&] { return slow.service().has_heard_peer(); }));
  CHECK(wait(&slow, now + std::chrono::milliseconds(300)) > Duration::zero());
  CHECK(wait(&slow, now + FleetService::kFirstSnapshotTimeout * 3) == Duration::zero());
  // Others ask a seed first: it must know.
  ServiceFixture seed;
  seed.link_kilobytes = 1250;
  seed.seeds = {seed.ip()};
  seed.Start();
  CHECK(wait(&seed, now) == Duration::zero());
}

// Guards against a peer in trouble that sends its copy byte by byte: this instance would stay with
// what it knows until the peer ends.
TEST_CASE("a peer's copy that trickles in is given up after its time", "[fleet]") {
  ServiceFixture fixture;
  FloodServer server(&fixture.loop(), "HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n", "x",
                     std::chrono::milliseconds(200));
  fixture.Start(server.address().port);
  auto& peer = fixture.AddPeer("here", server.address().ip);
  peer.member().published = Revision(9);
  Timer heartbeat(&fixture.loop(), [&] { peer.Send(fixture.ip()); });
  heartbeat.Repeat(FleetTable::kHeartbeatInterval);
  CHECK_FALSE(fixture.Until([&] { return server.ended() > 0; },
                            FleetService::kMaxSnapshotTime - std::chrono::seconds(1)));
  CHECK(fixture.Until([&] { return server.ended() > 0; }));
}

}  // namespace
}  // namespace primroseweir::testing
