// Answers that belong to another request, and answers without end, on the whole path of a call.
#include <string>

#include "gateway_fixture.h"
#include "support/flood_server.h"

namespace primroseweir::testing {
namespace {

std::string CallWith(const std::string& id) {
  return "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
         "\r\nX-Deadline: 1000\r\nContent-Length: 2\r\n\r\nhi";
}

std::unique_ptr<LoopCaller> Call(GatewayFixture* fixture, const std::string& id) {
  auto caller = std::make_unique<LoopCaller>(&fixture->loop(), fixture->gateway().address());
  caller->Send(CallWith(id));
  RunUntil(&fixture->loop(), [&] { return caller->status() != 0 || caller->ended(); });
  return caller;
}

// Guards against a second copy of an answer that the next caller gets: before its own answer, and
// while the connection is idle.
TEST_CASE("a late second copy of an answer reaches nobody", "[gateway][whole-answers]") {
  GatewayFixture fixture;
  std::string last;
  fixture.AddUpstream([&last](const Request& r) {
    const auto own = Respond(r, 200, "for " + r.head.fields.Get("X-Id"));
    // The copy of the answer before stands where this one is expected.
    return Reply{std::exchange(last, own) + own, {}, {}};
  });
  fixture.Apply(CallKind::kNonIdempotent);
  for (const char* id : {"a", "b", "c", "d"}) {
    const auto caller = Call(&fixture, id);
    CHECK(caller->status() == 200);
    CHECK(Contains(caller->received(), std::string("for ") + id));
  }
}

// Guards against the same through a probe, which has no id of its own: it took the copy for its
// answer, and its own late answer became that of the next call.
TEST_CASE("a late second copy is not taken for a probe's answer", "[gateway][whole-answers]") {
  GatewayFixture fixture;
  fixture.terms.probe = "/health";
  std::string copy;
  int probes = 0;
  const std::string health = "HTTP/1.1 503 Draining\r\nX-Upstream: u1\r\nContent-Length: 0\r\n\r\n";
  LoopServer* server = nullptr;
  server = &fixture.AddUpstream([&](const Request& r) {
    if (r.head.target == "/health") {
      return Reply{++probes == 1 ? "HTTP/1.1 200 OK\r\nX-Upstream: u1\r\nX-Load: "
                                   "0,0,4,100\r\nContent-Length: 0\r\n\r\n"
                                 : copy,
                   {},
                   {}};
    }
    const auto own = Respond(r, 200, "for " + r.head.fields.Get("X-Id"));
    const bool behind_copy = probes > 1 && server->accepted() == 1;
    copy = own;
    return Reply{behind_copy ? health + own : own, {}, {}};
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

// Guards against a call that an endless answer holds, and against one that is said not to have run.
TEST_CASE("an answer without end is a lost answer", "[gateway][endless][not-run]") {
  const std::string many(400'000, 'x');
  struct Flood {
    std::string first;
    std::string piece;
  };
  const std::vector<Flood> floods = {
      {"HTTP/1.1 200 OK\r\nA: ", many},
      {"not http ", many},
      {"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signature: s\r\n\r\n", many},
      {"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n1;a=",
       many},
  };
  for (const auto& flood : floods) {
    GatewayFixture fixture;
    FloodServer server(&fixture.loop(), flood.first, flood.piece);
    fixture.List(server.address());
    fixture.Apply(CallKind::kNonIdempotent);
    const auto caller = fixture.Call();
    CHECK(caller->status() == 502);
    CHECK(RunUntil(&fixture.loop(), [&] { return server.ended() == 1; }));
    CHECK(fixture.gateway().calls() == 0);
  }
}

TEST_CASE("an answer that trickles in ends at the deadline", "[gateway][endless]") {
  for (const char* first : {"HTTP/1.1 200 OK\r\n",
                            "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signature: "
                            "s\r\nContent-Length: 100000\r\n\r\n"}) {
    GatewayFixture fixture;
    fixture.timeout = std::chrono::milliseconds(400);
    FloodServer server(&fixture.loop(), first, "A: b\r\n", std::chrono::milliseconds(20));
    fixture.List(server.address());
    fixture.Apply(CallKind::kNonIdempotent);
    const auto begin = MonotonicNow();
    CHECK(fixture.Call()->status() == 504);
    CHECK(MonotonicNow() - begin < std::chrono::milliseconds(700));
    CHECK(RunUntil(&fixture.loop(), [&] { return server.ended() == 1; }));
  }
}

// Guards against a connection and a slot that an answer without end holds for good, and against an
// answer that was cut off and looks complete.
TEST_CASE("a streamed answer without end is cut after its time",
          "[gateway][endless][whole-answers]") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signature: s\r\n";
  const std::string many(400'000, 'x');
  const std::vector<std::pair<std::string, std::string>> floods = {
      {head + "\r\n", many},
      {head + "Transfer-Encoding: chunked\r\n\r\n", "61a80\r\n" + many + "\r\n"},
      {head + "Content-Length: 900000000000\r\n\r\n", many},
  };
  for (const auto& [first, piece] : floods) {
    Gateway::Options options;
    options.max_stream_duration = std::chrono::milliseconds(300);
    GatewayFixture fixture(options);
    FloodServer server(&fixture.loop(), first, piece);
    fixture.List(server.address());
    fixture.Apply(CallKind::kDownload);
    const auto caller = fixture.Start();
    REQUIRE(RunUntil(&fixture.loop(), [&] { return caller->ended(); }));
    CHECK_FALSE(caller->clean());
    CHECK(RunUntil(&fixture.loop(), [&] { return server.ended() == 1; }));
    CHECK(fixture.gateway().calls() == 0);
  }
}

}  // namespace
}  // namespace primroseweir::testing
