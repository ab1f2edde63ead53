// End-to-end tests of responses that belong to another request and of endless responses.
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"
#include "support/flood_server.h"

namespace primroseweir::testing {
namespace {

std::string FormatRequest(const std::string& id) {
  return "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
         "\r\nX-Deadline: 1000\r\nContent-Length: 2\r\n\r\nhi";
}

std::unique_ptr<LoopCaller> Call(GatewayFixture* fixture, const std::string& id) {
  auto caller = std::make_unique<LoopCaller>(&fixture->loop(), fixture->gateway().address());
  caller->Send(FormatRequest(id));
  RunUntil(&fixture->loop(), [&] { return caller->status() != 0 || caller->ended(); });
  return caller;
}

// Guards against a duplicate response that is forwarded to the next caller, when it arrives before
// that caller's own response or while the connection is idle.
TEST_CASE("a late duplicate of a response is not forwarded to any caller",
          "[gateway][whole-answers]") {
  GatewayFixture fixture;
  std::string previous_response;
  fixture.AddUpstream([&previous_response](const Request& r) {
    const auto response = FormatResponse(r, 200, "for " + r.head.fields.Get("X-Id"));
    // A duplicate of the previous response precedes this one.
    return Reply{std::exchange(previous_response, response) + response, {}, {}};
  });
  fixture.Apply(CallKind::kNonIdempotent);
  for (const char* id : {"a", "b", "c", "d"}) {
    const auto caller = Call(&fixture, id);
    CHECK(caller->status() == 200);
    CHECK(Contains(caller->received(), std::string("for ") + id));
  }
}

// Guards against the same fault through a probe, which carries no request id: the probe took the
// duplicate for its response, and the late response to the probe was forwarded to the next call.
TEST_CASE("a late duplicate of a response is not taken for the response to a probe",
          "[gateway][whole-answers]") {
  GatewayFixture fixture;
  fixture.service_settings.probe_target = "/health";
  std::string last_response;
  int probes = 0;
  const std::string health_response =
      "HTTP/1.1 503 Draining\r\nX-Upstream: u1\r\nContent-Length: 0\r\n\r\n";
  LoopServer* server = nullptr;
  server = &fixture.AddUpstream([&](const Request& r) {
    if (r.head.target == "/health") {
      return Reply{++probes == 1 ? "HTTP/1.1 200 OK\r\nX-Upstream: u1\r\nX-Load: "
                                   "0,0,4,100\r\nContent-Length: 0\r\n\r\n"
                                 : last_response,
                   {},
                   {}};
    }
    const auto response = FormatResponse(r, 200, "for " + r.head.fields.Get("X-Id"));
    const bool follows_duplicate = probes > 1 && server->accepted() == 1;
    last_response = response;
    return Reply{follows_duplicate ? health_response + response : response, {}, {}};
  });
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(Call(&fixture, "a")->status() == 200);
  RunUntil(
      &fixture.loop(), [] { return false; }, std::chrono::milliseconds(40));
  const auto next = Call(&fixture, "b");
  REQUIRE(probes == 2);
  CHECK(next->status() == 200);
  CHECK(Contains(next->received(), "for b"));
}

// Guards against a refusal that an upstream sends once more on a kept connection, before the
// response to the next call: it was taken for the response to that call, which the upstream
// executed. The caller was told that the call had not run, or it was executed a second time
// elsewhere.
TEST_CASE("a repeated refusal without an id does not refuse another call",
          "[gateway][at-most-once][not-run]") {
  const std::string refusal =
      "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Upstream: u1\r\nX-Load: 1,0,4,100\r\n"
      "Content-Length: 0\r\n\r\n";
  // The copy follows the refusal of a probe on the same connection, or is the first response on a
  // new connection.
  for (const bool refuses_probe : {true, false}) {
    GatewayFixture fixture;
    fixture.service_settings.probe_target = refuses_probe ? "/health" : "";
    std::vector<std::string> executed;
    std::size_t copies = 0;
    for (int i = 0; i < 2; ++i) {
      fixture.AddUpstream(
          [&, copy = refuses_probe ? std::string() : refusal](const Request& r) mutable {
            if (r.head.target == "/health") {
              copy = refusal;
              return Reply{refusal, {}, {}};
            }
            const auto id = r.head.fields.Get("X-Id");
            executed.push_back(id);
            copies += copy.empty() ? 0 : 1;
            return Reply{std::exchange(copy, "") + FormatResponse(r, 200, "for " + id), {}, {}};
          });
    }
    fixture.Apply(CallKind::kNonIdempotent);
    for (const char* id : {"a", "b", "c", "d"}) {
      const auto caller = Call(&fixture, id);
      CHECK(caller->status() == 200);
      CHECK(Contains(caller->received(), std::string("for ") + id));
    }
    CHECK(executed.size() == 4);
    CHECK(copies > 0);
  }
}

// Guards against a 421 of unknown origin that counts as proof that a call was not executed.
TEST_CASE("a 421 without an id and without another upstream's name does not refuse a call",
          "[gateway][at-most-once][not-run]") {
  for (const char* name : {"", "X-Upstream: u1\r\n", "X-Upstream: other\r\n"}) {
    GatewayFixture fixture;
    fixture.AddUpstream([&](const Request&) {
      return Reply{
          "HTTP/1.1 421 Misdirected\r\n" + std::string(name) + "Content-Length: 0\r\n\r\n", {}, {}};
    });
    fixture.Apply(CallKind::kNonIdempotent);
    const bool is_other = Contains(name, "other");
    CHECK(Call(&fixture, "a")->status() == (is_other ? 503 : 502));
  }
}

// Guards against a call that waits until its deadline when the refusal without an id was its own,
// and against a retry of a call that may have been executed.
TEST_CASE("a call whose only response is a refusal without an id fails when it is overdue",
          "[gateway][at-most-once][not-run]") {
  for (const auto kind : {CallKind::kNonIdempotent, CallKind::kIdempotent}) {
    GatewayFixture fixture;
    fixture.timeout = std::chrono::seconds(20);
    std::size_t refusals = 0;
    const auto script = [&](const Request& r) {
      if (r.head.fields.Get("X-Id") != "b" || ++refusals > 1) {
        return Reply{FormatResponse(r, 200, "ok"), {}, std::chrono::milliseconds(20)};
      }
      return Reply{"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", {}, {}};
    };
    const bool is_idempotent = kind == CallKind::kIdempotent;
    std::vector<LoopServer*> upstreams{&fixture.AddUpstream(script, "here", 1)};
    if (is_idempotent) {
      upstreams.push_back(&fixture.AddUpstream(script, "here", 1));
    }
    fixture.Apply(kind);
    // Concurrent calls, which leave a kept connection to each upstream.
    std::vector<std::unique_ptr<LoopCaller>> callers;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      callers.push_back(fixture.StartCall());
    }
    REQUIRE(RunUntil(&fixture.loop(), [&] {
      return fixture.gateway().calls() == 0 && fixture.request_count() == upstreams.size();
    }));
    for (const auto* upstream : upstreams) {
      REQUIRE(upstream->accepted() == 1);
    }
    const auto requests_before = fixture.request_count();
    LoopCaller caller(&fixture.loop(), fixture.gateway().address());
    caller.Send(
        "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: b\r\nX-Deadline: 20000\r\nContent-Length: "
        "2\r\n\r\nhi");
    REQUIRE(RunUntil(&fixture.loop(), [&] { return caller.status() != 0; }));
    CHECK(caller.status() == (is_idempotent ? 200 : 502));
    CHECK(fixture.request_count() - requests_before == (is_idempotent ? 2 : 1));
  }
}

// Guards against a response to an earlier call that reaches a caller who sends no id.
TEST_CASE("a call without an id uses no connection that carried a response",
          "[gateway][whole-answers]") {
  GatewayFixture fixture;
  auto& upstream = fixture.AddUpstream([](const Request&) {
    return Reply{"HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n", {}, {}};
  });
  fixture.Apply(CallKind::kNonIdempotent);
  for (std::size_t i = 1; i <= 3; ++i) {
    LoopCaller caller(&fixture.loop(), fixture.gateway().address());
    caller.Send("POST /x/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
    REQUIRE(RunUntil(&fixture.loop(), [&] { return caller.status() != 0; }));
    CHECK(caller.status() == 200);
    CHECK(upstream.accepted() == i);
  }
}

// Guards against a part of a head that reaches the caller as a whole response.
TEST_CASE("a response whose head is cut off is not forwarded", "[gateway][whole-answers]") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signature: s\r\nContent-Length: 30\r\n\r\n";
  for (const auto kind : {CallKind::kIdempotent, CallKind::kNonIdempotent, CallKind::kDownload}) {
    for (std::size_t size = 0; size <= head.size(); size += 5) {
      GatewayFixture fixture;
      for (int i = 0; i < 2; ++i) {
        fixture.AddUpstream([&](const Request&) {
          return Reply{head.substr(0, size), Then::kClose, {}};
        });
      }
      fixture.Apply(kind);
      const auto caller = fixture.Call();
      INFO(head.substr(0, size));
      CHECK(caller->status() == 502);
      CHECK_FALSE(Contains(caller->received(), "X-Signature"));
    }
  }
}

// Guards against a call that an endless response keeps in progress, and against a reply that denies
// that such a call may have been executed.
TEST_CASE("an endless response counts as a lost response", "[gateway][endless][not-run]") {
  const std::string filler(400'000, 'x');
  struct Flood {
    std::string first;
    std::string piece;
  };
  const std::vector<Flood> floods = {
      {"HTTP/1.1 200 OK\r\nA: ", filler},
      {"not http ", filler},
      {"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n\r\n", filler},
      {"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;a=",
       filler},
  };
  for (const auto& flood : floods) {
    GatewayFixture fixture;
    FloodServer server(&fixture.loop(), flood.first, flood.piece);
    fixture.AddUpstreamRecord(server.address());
    fixture.Apply(CallKind::kNonIdempotent);
    const auto caller = fixture.Call();
    CHECK(caller->status() == 502);
    CHECK(RunUntil(&fixture.loop(), [&] { return server.ended() == 1; }));
    CHECK(fixture.gateway().calls() == 0);
  }
}

TEST_CASE("a call whose response arrives too slowly fails at the deadline", "[gateway][endless]") {
  for (const char* first : {"HTTP/1.1 200 OK\r\n",
                            "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signature: "
                            "s\r\nContent-Length: 100000\r\n\r\n"}) {
    GatewayFixture fixture;
    fixture.timeout = std::chrono::milliseconds(400);
    FloodServer server(&fixture.loop(), first, "A: b\r\n", std::chrono::milliseconds(20));
    fixture.AddUpstreamRecord(server.address());
    fixture.Apply(CallKind::kNonIdempotent);
    const auto start = MonotonicNow();
    CHECK(fixture.Call()->status() == 504);
    CHECK(MonotonicNow() - start < std::chrono::milliseconds(700));
    CHECK(RunUntil(&fixture.loop(), [&] { return server.ended() == 1; }));
  }
}

// Guards against an endless response that occupies a connection and a slot for good, and against a
// truncated response that looks complete.
TEST_CASE("an endless streamed response is aborted after its maximum time",
          "[gateway][endless][whole-answers]") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signature: s\r\n";
  const std::string filler(400'000, 'x');
  const std::vector<std::pair<std::string, std::string>> floods = {
      {head + "\r\n", filler},
      {head + "Transfer-Encoding: chunked\r\n\r\n", "61a80\r\n" + filler + "\r\n"},
      {head + "Content-Length: 900000000000\r\n\r\n", filler},
  };
  for (const auto& [first, piece] : floods) {
    Gateway::Options options;
    options.max_stream_duration = std::chrono::milliseconds(300);
    GatewayFixture fixture(options);
    FloodServer server(&fixture.loop(), first, piece);
    fixture.AddUpstreamRecord(server.address());
    fixture.Apply(CallKind::kDownload);
    const auto caller = fixture.StartCall();
    REQUIRE(RunUntil(&fixture.loop(), [&] { return caller->ended(); }));
    CHECK_FALSE(caller->clean());
    CHECK(RunUntil(&fixture.loop(), [&] { return server.ended() == 1; }));
    CHECK(fixture.gateway().calls() == 0);
  }
}

}  // namespace
}  // namespace primroseweir::testing
