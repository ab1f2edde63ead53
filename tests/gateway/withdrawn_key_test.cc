// Keys and customers that change while a call is in progress.
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "key_fixture.h"

namespace primroseweir::testing {
namespace {

using std::chrono::milliseconds;

constexpr char kKeyA[] = "Authorization: Token key-a\r\n";
constexpr char kKeyB[] = "Authorization: Token key-b\r\n";

// Guards against calls that wait in the admission queue and are sent with a withdrawn key, and
// against callers that wait for the refusal until the calls before them have started.
TEST_CASE("queued calls whose key is withdrawn get 401 at once", "[gateway][config-in-force]") {
  constexpr std::size_t kSlots = 4;
  KeyFixture fixture(milliseconds(100), kSlots);
  std::vector<std::unique_ptr<LoopCaller>> callers;
  const auto start_call = [&](const char* key) {
    callers.push_back(fixture.StartCallWith(key));
    RunUntil(&fixture.loop(), [&] { return fixture.gateway().calls() == callers.size(); });
    return callers.back().get();
  };
  for (std::size_t i = 0; i < kSlots; ++i) {
    start_call(kKeyB);
  }
  fixture.WaitForRequests(kSlots);
  const auto* first_in_queue = start_call(kKeyB);
  const auto* second_in_queue = start_call(kKeyA);
  fixture.ApplyCustomers({{"b", "key-b"}});
  CHECK(fixture.StatusOf(*second_in_queue) == 401);
  CHECK(callers[0]->status() == 0);
  CHECK(fixture.StatusOf(*first_in_queue) == 200);
  CHECK(Contains(fixture.LogText(), "reason=key_withdrawn"));
  REQUIRE(fixture.upstream->requests().size() == kSlots + 1);
  for (const auto& request : fixture.upstream->requests()) {
    CHECK(request.head.fields.Get("X-Customer") == "b");
  }
}

// Guards against a queued call that reaches an upstream under a name that its key no longer has, or
// that is refused although its key is valid.
TEST_CASE("a queued call is sent under the new name of its customer", "[gateway]") {
  KeyFixture fixture(milliseconds(50), 1);
  const auto first = fixture.StartCallWith(kKeyB);
  fixture.WaitForRequests(1);
  const auto second = fixture.StartCallWith(kKeyA);
  RunUntil(&fixture.loop(), [&] { return fixture.gateway().calls() == 2; });
  fixture.ApplyCustomers({{"renamed", "key-a"}, {"b", "key-b"}});
  CHECK(fixture.StatusOf(*second) == 200);
  REQUIRE(fixture.upstream->requests().size() == 2);
  CHECK(fixture.upstream->requests()[1].head.fields.Get("X-Customer") == "renamed");
}

// Guards against a key that reaches an upstream because the call arrived before the first
// configuration with customers, or is sent after the last one.
TEST_CASE("a queued call keeps its key from upstreams when customers are added or removed",
          "[gateway]") {
  KeyFixture fixture(milliseconds(50), 1);
  const auto table = fixture.customers;
  const bool are_added = GENERATE(true, false);
  fixture.customers = are_added ? nullptr : table;
  fixture.Apply(CallKind::kNonIdempotent);
  const auto first = fixture.StartCallWith(kKeyB);
  fixture.WaitForRequests(1);
  const auto second = fixture.StartCallWith(kKeyA);
  RunUntil(&fixture.loop(), [&] { return fixture.gateway().calls() == 2; });
  fixture.customers = are_added ? table : nullptr;
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(fixture.StatusOf(*second) == 200);
  REQUIRE(fixture.upstream->requests().size() == 2);
  CHECK(fixture.upstream->requests()[1].head.fields.Count("Authorization") == 0);
  CHECK(fixture.upstream->requests()[1].head.fields.Get("X-Customer") == "a");
}

// Guards against a queued call without a key on a route that is no longer public.
TEST_CASE("a queued call without a key gets 401 when its route stops being public",
          "[gateway][config-in-force]") {
  KeyFixture fixture(milliseconds(100), 1);
  fixture.is_public = true;
  fixture.Apply(CallKind::kNonIdempotent);
  const auto first = fixture.StartCallWith("");
  fixture.WaitForRequests(1);
  const auto second = fixture.StartCallWith("");
  RunUntil(&fixture.loop(), [&] { return fixture.gateway().calls() == 2; });
  fixture.is_public = false;
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(fixture.StatusOf(*second) == 401);
  CHECK(fixture.StatusOf(*first) == 200);
}

// Guards against a retry with a withdrawn key, and against 401, which promises that the call was
// not executed, for one that may have been.
TEST_CASE("a call whose key is withdrawn is not retried", "[gateway][not-run]") {
  GatewayFixture fixture;
  const bool has_refused = GENERATE(true, false);
  for (int i = 0; i < 2; ++i) {
    fixture.AddUpstream([has_refused](const Request& r) {
      return has_refused
                 ? Reply{FormatResponse(r, 503, "", "X-Not-Run: 1\r\n"), {}, milliseconds(40)}
                 : Reply{"", Then::kReset, milliseconds(40)};
    });
  }
  fixture.customers = MakeTable({{"a", "key-a"}});
  fixture.Apply(CallKind::kIdempotent);
  const auto caller = fixture.StartCallWith(kKeyA);
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.request_count() == 1; }));
  fixture.customers = MakeTable({{"b", "key-b"}});
  fixture.Apply(CallKind::kIdempotent);
  RunUntil(&fixture.loop(), [&] { return caller->status() != 0 || caller->ended(); });
  CHECK(caller->status() == (has_refused ? 401 : 502));
  CHECK(fixture.request_count() == 1);
}

// Guards against a key on the second attempt of a call, as a retry or a hedge, or on a probe.
TEST_CASE("retries, hedges and probes carry no key", "[gateway]") {
  GatewayFixture fixture;
  const bool has_refused = GENERATE(true, false);
  fixture.service_settings.probe_target = "/health";
  std::vector<LoopServer*> upstreams;
  int count = 0;
  for (int i = 0; i < 2; ++i) {
    upstreams.push_back(&fixture.AddUpstream([&count, has_refused](const Request& r) {
      if (r.head.target == "/health") {
        return Reply{FormatResponse(r, 200, "ok"), {}, {}};
      }
      if (count++ > 0) {
        return Reply{FormatResponse(r, 200, "ok"), {}, {}};
      }
      return has_refused ? Reply{FormatResponse(r, 503, "", "X-Not-Run: 1\r\n"), {}, {}}
                         : Reply{"", Then::kKeep, {}};
    }));
  }
  fixture.customers = MakeTable({{"a", "key-a"}});
  fixture.Apply(CallKind::kIdempotent);
  // The latency estimate of a service without responses allows a hedge within the deadline.
  const auto caller = fixture.StartCallWith(kKeyA);
  RunUntil(&fixture.loop(), [&] { return caller->status() != 0 || caller->ended(); });
  CHECK(caller->status() == 200);
  CHECK(count == 2);
  for (const auto* upstream : upstreams) {
    for (const auto& request : upstream->requests()) {
      const bool is_probe = request.head.target == "/health";
      CHECK(request.head.fields.Count("Authorization") == 0);
      CHECK(request.head.fields.Get("X-Customer") == (is_probe ? "" : "a"));
    }
  }
}

// Guards against a pipelined call that is decided by the keys of the time when its bytes arrived.
TEST_CASE("a pipelined call whose key is withdrawn before its turn gets 401",
          "[gateway][config-in-force]") {
  KeyFixture fixture(milliseconds(40));
  const std::string request =
      "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nAuthorization: Token key-a\r\nContent-Length: "
      "2\r\n\r\nhi";
  LoopCaller caller(&fixture.loop(), fixture.gateway().address());
  caller.Send(request + request);
  fixture.WaitForRequests(1);
  fixture.ApplyCustomers({{"b", "key-b"}});
  RunUntil(&fixture.loop(), [&] { return Contains(caller.received(), "HTTP/1.1 401"); });
  CHECK(caller.status() == 200);
  CHECK(Contains(caller.received(), "HTTP/1.1 401"));
  CHECK(fixture.upstream->requests().size() == 1);
}

// Guards against a body that makes a call valid for as long as it arrives.
TEST_CASE("a key that is withdrawn while the body arrives is refused",
          "[gateway][config-in-force]") {
  KeyFixture fixture;
  LoopCaller caller(&fixture.loop(), fixture.gateway().address());
  caller.Send(
      "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nAuthorization: Token key-a\r\nContent-Length: "
      "4\r\nExpect: 100-continue\r\n\r\n");
  REQUIRE(RunUntil(&fixture.loop(), [&] { return caller.status() == 100; }));
  fixture.ApplyCustomers({{"b", "key-b"}});
  caller.Send("body");
  RunUntil(&fixture.loop(), [&] { return Contains(caller.received(), "HTTP/1.1 401"); });
  CHECK(Contains(caller.received(), "HTTP/1.1 401"));
  CHECK(fixture.upstream->heads() == 0);
}

// Guards against an upload that is cut, or reported as not executed, after an upstream has it.
TEST_CASE("an upload that an upstream is receiving completes after its key was withdrawn",
          "[gateway][whole-answers]") {
  KeyFixture fixture;
  fixture.limits.max_body_bytes = 1 << 20;
  fixture.ApplyCustomers({{"a", "key-a"}}, CallKind::kUpload);
  LoopCaller caller(&fixture.loop(), fixture.gateway().address());
  caller.Send(
      "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nAuthorization: Token key-a\r\nContent-Length: "
      "200000\r\n\r\n" +
      std::string(150'000, 'b'));
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.upstream->heads() == 1; }));
  fixture.ApplyCustomers({{"b", "key-b"}}, CallKind::kUpload);
  caller.Send(std::string(50'000, 'b'));
  CHECK(fixture.StatusOf(caller) == 200);
  REQUIRE(fixture.upstream->requests().size() == 1);
  CHECK(fixture.upstream->requests()[0].body.size() == 200'000);
  CHECK(fixture.upstream->requests()[0].head.fields.Count("Authorization") == 0);
}

}  // namespace
}  // namespace primroseweir::testing
