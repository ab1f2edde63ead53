#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "gateway_fixture.h"

namespace primroseweir::testing {
namespace {

constexpr char kKey[] = "Authorization: Token key-a\r\n";

class QuotaFixture : public GatewayFixture {
 public:
  explicit QuotaFixture(LoopServer::Script script, double burst = 3, std::uint32_t slots = 4) {
    upstream = &AddUpstream(std::move(script), "here", slots);
    SetQuota(1, burst);
  }

  void SetQuota(double rate, double burst) {
    CustomerTable::Entry entry;
    entry.customer.name = CustomerName("a");
    entry.customer.rate = rate;
    entry.customer.burst = burst;
    entry.keys = {"key-a"};
    customers = *CustomerTable::Create({entry});
    Apply(CallKind::kIdempotent);
  }

  // Lets the bucket of a new instance, which is empty at first, fill.
  void WaitForQuota(Duration time) {
    RunUntil(
        &loop(), [] { return false; }, time);
  }

  std::unique_ptr<LoopCaller> Call() {
    auto caller = StartCallWith(kKey);
    RunUntil(&loop(), [&] { return caller->status() != 0 || caller->ended(); });
    return caller;
  }

  LoopServer* upstream = nullptr;
};

LoopServer::Script Answer(int status, const std::string& fields = "X-Signature: s\r\n") {
  return [status, fields](const Request& r) {
    return Reply{FormatResponse(r, status, "ok", fields), {}, {}};
  };
}

double RetryAfterOf(const LoopCaller& caller) {
  const auto start = caller.received().find("Retry-After: ");
  return start == std::string::npos ? -1 : std::atof(caller.received().c_str() + start + 13);
}

// Guards against calls above a quota that reach an upstream, and refusals that give no time.
TEST_CASE("calls above the quota are refused with 429 and a Retry-After", "[gateway]") {
  QuotaFixture fixture(Answer(200));
  fixture.SetQuota(4, 2);
  fixture.WaitForQuota(std::chrono::milliseconds(1500));
  std::size_t admitted = 0;
  std::unique_ptr<LoopCaller> refused;
  for (int i = 0; i < 8; ++i) {
    auto caller = fixture.Call();
    if (caller->status() == 200) {
      ++admitted;
    } else {
      refused = std::move(caller);
    }
  }
  CHECK(admitted >= 1);
  CHECK(admitted <= 4);
  CHECK(fixture.upstream->requests().size() == admitted);
  REQUIRE(refused != nullptr);
  CHECK(refused->status() == 429);
  CHECK(Contains(refused->received(), "over_quota"));
  CHECK(RetryAfterOf(*refused) > 0);
  CHECK(RetryAfterOf(*refused) <= 5);
}

// Guards against customers without a quota that are refused.
TEST_CASE("a customer without a quota is never over it", "[gateway]") {
  QuotaFixture fixture(Answer(200));
  fixture.SetQuota(0, 0);
  for (int i = 0; i < 20; ++i) {
    CHECK(fixture.Call()->status() == 200);
  }
  CHECK_FALSE(fixture.gateway().quota().UsageToReport(EventLoop::Now()).has_value());
}

// Guards against credit lost with calls that no upstream executed.
TEST_CASE("a call that is refused without having been executed gives its credit back",
          "[gateway][not-run]") {
  QuotaFixture fixture(Answer(503, "X-Not-Run: 1\r\nX-Signature: s\r\n"), 2);
  fixture.WaitForQuota(std::chrono::milliseconds(2500));
  for (int i = 0; i < 12; ++i) {
    CHECK(fixture.Call()->status() == 503);
  }
  CHECK(Contains(fixture.gateway().metrics().Text(), "decision=\"refunded\"} 12"));
}

// Guards against a call that is charged for each upstream that it is sent to.
TEST_CASE("a call that is sent again is charged once", "[gateway]") {
  QuotaFixture fixture(Answer(200));
  fixture.AddUpstream(Answer(500));
  fixture.AddUpstream(Answer(500));
  fixture.Apply(CallKind::kIdempotent);
  fixture.WaitForQuota(std::chrono::milliseconds(2500));
  const auto caller = fixture.Call();
  const auto usage = fixture.gateway().quota().UsageToReport(EventLoop::Now());
  REQUIRE(usage.has_value());
  REQUIRE(usage->customers.size() == 1);
  CHECK(usage->customers[0].recently_admitted == 1);
}

// Guards against credit lost with callers that leave before their call is sent, and against credit
// that a caller gets back although an upstream has the call.
TEST_CASE("a caller that leaves before its call is sent gives its credit back", "[gateway]") {
  QuotaFixture fixture([](const Request&) { return Reply(); }, 3, 1);
  fixture.WaitForQuota(std::chrono::milliseconds(2500));
  auto sent = fixture.StartCallWith(kKey);
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.request_count() == 1; }));
  auto waiting = fixture.StartCallWith(kKey);
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.gateway().calls() == 2; }));
  waiting.reset();
  RunUntil(&fixture.loop(), [&] { return fixture.gateway().calls() == 1; });
  CHECK(Contains(fixture.gateway().metrics().Text(), "decision=\"refunded\"} 1"));
  sent.reset();
  RunUntil(&fixture.loop(), [&] { return fixture.gateway().calls() == 0; });
  CHECK(Contains(fixture.gateway().metrics().Text(), "decision=\"refunded\"} 1"));
}

// Load: a customer exceeds its quota of urgent calls while a service is short of room. Guards
// against less urgent calls that are refused for calls which are not served either.
TEST_CASE("calls above the quota need no room", "[gateway]") {
  QuotaFixture fixture(Answer(200));
  // The bucket of a new instance is empty.
  REQUIRE(fixture.Call()->status() == 429);
  const auto now = EventLoop::Now();
  auto& admission = fixture.gateway().admission(ServiceName("s"));
  admission.RecordArrival(2, now);
  for (int i = 0; i < 100; ++i) {
    admission.RecordPlacement(false, now);
  }
  CHECK_FALSE(admission.ShouldRefuse(2, 0, now));
}

}  // namespace
}  // namespace primroseweir::testing
