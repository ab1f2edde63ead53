// Reports of quotas between instances, and what an instance concludes from silent ones.
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet_service_fixture.h"
#include "support/loop_server.h"

namespace primroseweir::testing {
namespace {

void ApplyQuota(GatewayFixture* gateway) {
  CustomerTable::Entry entry;
  entry.customer.name = CustomerName("a");
  entry.customer.rate = 10;
  entry.customer.burst = 10;
  entry.keys = {"key-a"};
  gateway->customers = *CustomerTable::Create({entry});
  gateway->AddUpstream([](const Request& r) {
    return Reply{FormatResponse(r, 200, "ok"), {}, {}};
  });
  gateway->Apply(CallKind::kIdempotent);
}

FleetMessage ActiveUsage() {
  FleetMessage message;
  message.usage.emplace();
  return message;
}

// Guards against an instance in touch that takes itself for cut off when its first calls come,
// because the others have no calls and send no reports.
TEST_CASE("an instance without calls answers the first reports of another", "[fleet]") {
  ServiceFixture fixture;
  ApplyQuota(&fixture.gateway_fixture());
  fixture.Start();
  auto& peer = fixture.AddPeer("here");
  peer.Send(fixture.ip(), ActiveUsage());
  CHECK(fixture.WaitUntil([&] {
    return HasMessage(peer, [](const auto& m) { return m.usage && !m.usage->is_active; });
  }));
}

// Guards against a loss of calls below the limit for a minute after instances ended, and against a
// whole quota beside one that may only be cut off.
TEST_CASE("an active instance that ended is told from one that is silent", "[fleet]") {
  const bool is_running = GENERATE(true, false);
  ServiceFixture fixture;
  ApplyQuota(&fixture.gateway_fixture());
  // A running process accepts connections on its snapshot port.
  LoopServer other(&fixture.loop(), [](const Request&) { return Reply{}; });
  fixture.Start(other.address().port);
  auto& peer = fixture.AddPeer("here", is_running ? other.address().ip : RandomLoopback().ip);
  auto& quota = fixture.gateway_fixture().gateway().quota();
  peer.Send(fixture.ip(), ActiveUsage());
  REQUIRE(fixture.WaitUntil([&] { return !quota.SilentPeers(EventLoop::Now()).empty(); }));
  const bool is_whole = fixture.WaitUntil(
      [&] { return quota.SilentPeers(EventLoop::Now()).empty(); }, std::chrono::seconds(3));
  CHECK(is_whole != is_running);
  CHECK((quota.usable_share(EventLoop::Now()) == 1) != is_running);
}

}  // namespace
}  // namespace primroseweir::testing
