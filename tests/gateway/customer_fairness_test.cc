#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace primroseweir::testing {
namespace {

// An upstream with one slot unless stated otherwise, and two customers.
class FairnessFixture : public GatewayFixture {
 public:
  explicit FairnessFixture(Duration work = std::chrono::milliseconds(100),
                           Duration upstream_is_cold_for = Duration::zero(),
                           std::uint32_t slots = 1) {
    warm_up_left = upstream_is_cold_for;
    service_settings.cold_rate = 10;
    upstream = &AddUpstream(
        [this, work](const Request& r) {
          order += r.head.fields.Get("X-Customer");
          return Reply{FormatResponse(r, 200, "ok"), {}, work};
        },
        "here", slots);
    std::vector<CustomerTable::Entry> entries(2);
    entries[0].customer.name = CustomerName("a");
    entries[0].keys = {"key-a"};
    entries[1].customer.name = CustomerName("b");
    entries[1].keys = {"key-b"};
    customers = *CustomerTable::Create(std::move(entries));
    latency_objective = std::chrono::seconds(4);
    Apply(CallKind::kNonIdempotent);
  }

  // Sends a call and waits until the gateway has it.
  LoopCaller* Send(const std::string& customer) {
    const auto received = gateway().calls_received();
    callers.push_back(StartCallWith("Authorization: Token key-" + customer + "\r\n"));
    RunUntil(&loop(), [&] { return gateway().calls_received() > received; });
    return callers.back().get();
  }
  void RunUntilEnd(LoopCaller* caller) {
    RunUntil(&loop(), [&] { return caller->status() != 0 || caller->ended(); });
  }

  LoopServer* upstream = nullptr;
  // The customers of the calls that the upstream got.
  std::string order;
  std::vector<std::unique_ptr<LoopCaller>> callers;
};

// Load: a busy customer fills the queue of a service, then another one sends a call. Guards against
// a call that is refused, or waits for all others, because of a busy customer.
TEST_CASE("a full queue of a busy customer doesn't keep others out", "[gateway]") {
  FairnessFixture fixture(std::chrono::milliseconds(300));
  std::vector<LoopCaller*> busy;
  do {
    busy.push_back(fixture.Send("a"));
    REQUIRE(busy.size() < 100);
    // The refusal, if any, arrives before the response to the first call.
    RunUntil(&fixture.loop(), [&] {
      return busy.back()->status() != 0 || fixture.gateway().calls() == busy.size();
    });
  } while (busy.back()->status() == 0);
  CHECK(busy.back()->status() == 503);
  busy.pop_back();
  REQUIRE(busy.size() > 2);
  auto* quiet = fixture.Send("b");
  // The last call of the busy customer is refused in its place, before any other call has ended.
  fixture.RunUntilEnd(busy.back());
  CHECK(busy.back()->status() == 503);
  CHECK(Contains(busy.back()->received(), "displaced"));
  CHECK(Contains(busy.back()->received(), "Retry-After"));
  CHECK(quiet->status() == 0);
  fixture.RunUntilEnd(quiet);
  CHECK(quiet->status() == 200);
  CHECK(fixture.order.substr(0, 2) == "ab");
}

// Load: a busy customer's call arrives when the only upstream, which is cold, may get its next
// call. Room that appears with time is offered to waiting calls every 25 ms. Guards against a new
// call that gets the room before the next offer, although a call of another customer waits.
TEST_CASE("a new call doesn't overtake a waiting one when room appears", "[gateway]") {
  FairnessFixture fixture(Duration::zero(), std::chrono::seconds(30));
  fixture.Send("a");
  RunUntil(&fixture.loop(), [&] { return !fixture.order.empty(); });
  fixture.Send("b");
  while (fixture.order.size() < 2) {
    fixture.Send("a");
    auto& callers = fixture.callers;
    callers.erase(std::remove_if(callers.begin(), callers.end(),
                                 [](const auto& caller) { return caller->status() == 503; }),
                  callers.end());
    REQUIRE(callers.size() < 100);
  }
  CHECK(fixture.order.substr(0, 2) == "ab");
}

// Load: as above, in a configuration without customers. Guards against an order that changes for
// operators who configure no customers.
TEST_CASE("without customers calls are served by arrival", "[gateway]") {
  FairnessFixture fixture;
  fixture.customers = nullptr;
  fixture.order.clear();
  fixture.Apply(CallKind::kNonIdempotent);
  for (const char name : std::string("aaab")) {
    fixture.callers.push_back(fixture.StartCallWith(std::string("X-Customer: ") + name + "\r\n"));
    const auto count = fixture.callers.size();
    RunUntil(&fixture.loop(), [&] { return fixture.gateway().calls_received() >= count; });
  }
  for (const auto& caller : fixture.callers) {
    fixture.RunUntilEnd(caller.get());
    CHECK(caller->status() == 200);
  }
  CHECK(fixture.order == "aaab");
}

// Load: one customer sends more than its share while another one's call waits. Guards against a
// busy customer that makes the service count as short of room, so that less urgent calls of all
// customers are refused.
TEST_CASE("calls above a customer's share are no shortage", "[gateway]") {
  FairnessFixture fixture(std::chrono::milliseconds(300), Duration::zero(), 2);
  fixture.Send("a");
  fixture.Send("a");
  RunUntil(&fixture.loop(), [&] { return fixture.order.size() == 2; });
  fixture.Send("b");
  for (int i = 0; i < 10; ++i) {
    auto* above_share = fixture.Send("a");
    fixture.RunUntilEnd(above_share);
    REQUIRE(Contains(above_share->received(), "above_share"));
  }
  CHECK(fixture.gateway().admission(ServiceName("s")).Shortage(EventLoop::Now()) == 0);
}

// Load: as in the first test. Guards against a shortage that stays unknown because the calls that
// find no room are displaced after waiting, not refused at once.
TEST_CASE("a displaced call is a sign of shortage", "[gateway]") {
  FairnessFixture fixture(std::chrono::milliseconds(300));
  const auto& admission = fixture.gateway().admission(ServiceName("s"));
  LoopCaller* busy = nullptr;
  do {
    busy = fixture.Send("a");
    RunUntil(&fixture.loop(), [&] {
      return busy->status() != 0 || fixture.gateway().calls() == fixture.callers.size();
    });
  } while (busy->status() == 0);
  const double shortage = admission.Shortage(EventLoop::Now());
  fixture.Send("b");
  CHECK(admission.Shortage(EventLoop::Now()) > shortage);
}

// Load: downloads fill the local data centre while another one has room. Guards against a download
// that is refused because a call with a better claim takes its place, although others that find no
// place are served elsewhere.
TEST_CASE("a displaced download is served in another data centre", "[gateway]") {
  FairnessFixture fixture(std::chrono::milliseconds(300));
  auto& remote = fixture.AddUpstream(
      [](const Request& r) {
        return Reply{FormatResponse(r, 200, "ok"), {}, {}};
      },
      "there", 4);
  fixture.Apply(CallKind::kDownload);
  auto& elsewhere = *fixture.gateway().balancer().Find(UpstreamId("u2"));
  elsewhere.SetPeerInFlight(4);
  LoopCaller* busy = nullptr;
  do {
    busy = fixture.Send("a");
    RunUntil(&fixture.loop(), [&] {
      return busy->status() != 0 || fixture.gateway().calls() == fixture.callers.size();
    });
  } while (busy->status() == 0);
  busy = fixture.callers[fixture.callers.size() - 2].get();
  elsewhere.SetPeerInFlight(0);
  fixture.Send("b");
  fixture.RunUntilEnd(busy);
  CHECK(busy->status() == 200);
  CHECK(remote.requests().size() == 1);
}

}  // namespace
}  // namespace primroseweir::testing
