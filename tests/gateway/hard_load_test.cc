// Calls through the whole gateway while callers send requests ahead or a service is short of room.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "gateway_fixture.h"

namespace primroseweir::testing {
namespace {

std::string Get(const std::string& target, const std::string& id) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\nX-Deadline: 2000\r\n\r\n";
}

}  // namespace

// Guards against a request that waits on its connection for the response to another one.
TEST_CASE("requests sent ahead reach upstreams at the same time", "[gateway][pipeline]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request& r) {
    const bool is_first = r.head.target == "/x/1";
    return Reply{FormatResponse(r, 200, is_first ? "one" : "two"), Then::kKeep,
                 is_first ? std::chrono::milliseconds(200) : std::chrono::milliseconds(0)};
  });
  fixture.Apply(CallKind::kIdempotent);
  LoopCaller caller(&fixture.loop(), fixture.gateway().address());
  caller.Send(Get("/x/1", "q1") + Get("/x/2", "q2"));
  RunUntil(&fixture.loop(), [&] { return fixture.request_count() == 2; });
  CHECK(fixture.request_count() == 2);
  CHECK(caller.received().empty());
  RunUntil(&fixture.loop(), [&] { return Contains(caller.received(), "two"); });
  const auto& received = caller.received();
  CHECK(received.find("one") < received.find("two"));
  CHECK(Contains(received, "X-Id: q2"));
}

// Guards against calls that run more often than their caller asked, and large responses that are
// held in memory.
TEST_CASE("downloads and calls that run once are not served ahead", "[gateway][pipeline]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request&) { return Reply{}; });
  fixture.Apply(GENERATE(CallKind::kNonIdempotent, CallKind::kDownload));
  LoopCaller caller(&fixture.loop(), fixture.gateway().address());
  caller.Send(Get("/x/1", "q1") + Get("/x/2", "q2"));
  RunUntil(
      &fixture.loop(), [&] { return fixture.request_count() == 2; },
      std::chrono::milliseconds(100));
  CHECK(fixture.request_count() == 1);
}

// Guards against less urgent calls that are held until it is too late, and against refusals by an
// instance whose service has room elsewhere.
TEST_CASE("less urgent calls are refused at once while the fleet is short of room", "[gateway]") {
  const bool is_fleet_short = GENERATE(true, false);
  GatewayFixture fixture;
  fixture.priority = 2;
  fixture.AddUpstream(
      [](const Request& r) {
        return Reply{FormatResponse(r, 200, "ok"), {}, {}};
      },
      "here", 8);
  fixture.Apply(CallKind::kIdempotent);
  auto& admission = fixture.gateway().admission(ServiceName("s"));
  auto& balancer = fixture.gateway().balancer();
  int refused = 0;
  for (int i = 0; i < 12; ++i) {
    const auto now = EventLoop::Now();
    balancer.Find(UpstreamId("u1"))->SetPeerInFlight(is_fleet_short ? 6 : 0);
    balancer.MeasurePressure(now);
    admission.RecordArrival(0, now);
    for (int call = 0; call < 100; ++call) {
      admission.RecordPlacement(false, now);
    }
    const auto caller = fixture.Call();
    if (caller->status() == 503) {
      ++refused;
      CHECK(Contains(caller->received(), "Retry-After: "));
      CHECK(Contains(caller->received(), "less_urgent"));
    }
  }
  CHECK((refused > 0) == is_fleet_short);
  // Some are served also then.
  CHECK(refused < 12);
  CHECK(fixture.request_count() == static_cast<std::size_t>(12 - refused));
}

// Load: calls that are refused while a service is short of room. Guards against callers that all
// return within the burst, and against repeats of one call that push the others back.
TEST_CASE("refused callers return over the time that they have", "[gateway]") {
  GatewayFixture fixture;
  fixture.priority = 2;
  fixture.AddUpstream([](const Request&) { return Reply{}; }, "here", 1);
  fixture.Apply(CallKind::kIdempotent);
  auto& admission = fixture.gateway().admission(ServiceName("s"));
  fixture.gateway().balancer().Find(UpstreamId("u1"))->SetPeerInFlight(1);
  double longest = 0;
  double shortest = 1;
  for (int i = 0; i < 20; ++i) {
    const auto now = EventLoop::Now();
    fixture.gateway().balancer().MeasurePressure(now);
    admission.RecordArrival(0, now);
    for (int call = 0; call < 100; ++call) {
      admission.RecordPlacement(false, now);
    }
    const auto caller = fixture.Call("/x/" + std::to_string(i));
    REQUIRE(caller->status() == 503);
    const auto field = caller->received().find("Retry-After: ");
    REQUIRE(field != std::string::npos);
    const double retry_after = std::stod(caller->received().substr(field + 13));
    longest = std::max(longest, retry_after);
    shortest = std::min(shortest, retry_after);
  }
  // Callers follow it up to a third of the 2 s that they have.
  CHECK(longest > 0.4);
  CHECK(longest <= 0.667);
  CHECK(longest - shortest > 0.1);
}

}  // namespace primroseweir::testing
