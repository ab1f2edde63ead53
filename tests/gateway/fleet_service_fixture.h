#ifndef PRIMROSEWEIR_TESTS_GATEWAY_FLEET_SERVICE_FIXTURE_H_
#define PRIMROSEWEIR_TESTS_GATEWAY_FLEET_SERVICE_FIXTURE_H_

#include <fcntl.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"
#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/gateway/fleet_service.h"
#include "primroseweir/published/published_cache.h"

namespace primroseweir::testing {

inline constexpr std::uint16_t kDatagramPort = 39123;

inline FleetMember MakeMember(const std::string& ip, const std::string& data_centre) {
  FleetMember member;
  member.ip = ip;
  member.data_centre = DataCentre(data_centre);
  member.incarnation = Incarnation(7);
  return member;
}

inline FleetHeartbeat HeartbeatOf(const FleetMember& member) {
  return {AddressBits(member.ip), RecordDigest(member),
          static_cast<std::uint16_t>(member.heartbeat)};
}

// Stands in for another instance: sends and records datagrams.
class FakePeer {
 public:
  FakePeer(EventLoop* loop, FleetMember member) : member_(std::move(member)), socket_(loop) {
    const auto status = socket_.Bind({member_.ip, kDatagramPort},
                                     [this](const std::string& /*ip*/, std::string_view data) {
                                       messages_.push_back(DecodeFleetMessage(data).value());
                                     });
    REQUIRE(status.ok());
  }

  // Sends a message with this peer's record as its first member, with the next heartbeat.
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

  // `snapshot_port` is the snapshot port of all instances.
  void Start(std::uint16_t snapshot_port = 1) {
    FleetService::Options options;
    options.self = MakeMember(ip_, "here");
    options.datagram_port = kDatagramPort;
    options.snapshot_port = snapshot_port;
    options.self.capacity.link_kilobytes_per_second = link_kilobytes_per_second;
    options.seeds = seeds;
    service_ = std::make_unique<FleetService>(&gateway_.loop(), options, &gateway_.gateway(),
                                              &cache_, &log_, [](bool /*changed*/) {});
    REQUIRE(service_->Start().ok());
  }

  FakePeer& AddPeer(const std::string& data_centre, const std::string& ip = RandomLoopback().ip) {
    peers_.push_back(std::make_unique<FakePeer>(&gateway_.loop(), MakeMember(ip, data_centre)));
    return *peers_.back();
  }

  bool WaitUntil(const std::function<bool()>& done, Duration time = std::chrono::seconds(5)) {
    return RunUntil(&gateway_.loop(), done, time);
  }

  EventLoop& loop() { return gateway_.loop(); }
  const std::string& ip() const { return ip_; }
  FleetService& service() { return *service_; }
  GatewayFixture& gateway_fixture() { return gateway_; }

  std::uint32_t link_kilobytes_per_second = 125000;
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
bool HasMessage(const FakePeer& peer, Predicate predicate) {
  const auto& messages = peer.messages();
  return std::any_of(messages.begin(), messages.end(), predicate);
}

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_GATEWAY_FLEET_SERVICE_FIXTURE_H_
