#include "gateway_fixture.h"
#include "primroseweir/balance/retry_policy.h"

namespace primroseweir::testing {
namespace {

TEST_CASE("a call reaches an upstream unchanged and its answer the caller", "[gateway]") {
  GatewayFixture fixture;
  auto& upstream = fixture.AddUpstream([](const Request& r) {
    return Reply{Respond(r, 201, "made"), {}, {}};
  });
  fixture.Apply(CallKind::kNonIdempotent);
  const auto caller = fixture.Call("/x/a?b=c");
  CHECK(caller->status() == 201);
  CHECK(Contains(caller->received(), "X-Signature: s"));
  CHECK(Contains(caller->received(), "made"));
  REQUIRE(upstream.requests().size() == 1);
  const auto& request = upstream.requests()[0];
  CHECK(request.head.target == "/x/a?b=c");
  CHECK(request.head.method == "POST");
  CHECK(request.body == "hi");
  CHECK(request.head.fields.Get("X-Expected") == "u1");
  CHECK(request.head.fields.Get("X-Id") == "q1");
  const int left = std::stoi(request.head.fields.Get("X-Deadline"));
  CHECK(left > 1500);
  CHECK(left <= 2000);
}

TEST_CASE("without a configuration calls are refused, without a route they are not found",
          "[gateway][not-run]") {
  GatewayFixture fixture;
  CHECK(fixture.Call()->status() == 503);
  fixture.AddUpstream([](const Request& r) { return Reply{Respond(r, 200, "ok"), {}, {}}; });
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(fixture.Call("/y/1")->status() == 404);
}

// Guards against a second run after a connection that broke once bytes had been sent.
TEST_CASE("a call that must run once is not sent again after a reset", "[gateway][at-most-once]") {
  GatewayFixture fixture;
  for (int i = 0; i < 2; ++i) {
    fixture.AddUpstream([](const Request&) { return Reply{"", Then::kReset, {}}; });
  }
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(fixture.Call()->status() == 502);
  CHECK(fixture.arrivals() == 1);
}

TEST_CASE("a call that may repeat goes to another upstream after a reset", "[gateway]") {
  GatewayFixture fixture;
  int sent = 0;
  for (int i = 0; i < 2; ++i) {
    fixture.AddUpstream([&sent](const Request& r) {
      return ++sent == 1 ? Reply{"", Then::kReset, {}} : Reply{Respond(r, 200, "ok"), {}, {}};
    });
  }
  fixture.Apply(CallKind::kIdempotent);
  CHECK(fixture.Call()->status() == 200);
  CHECK(fixture.arrivals() == 2);
}

// Guards against "not run" on the mere word of a status.
TEST_CASE("only an explicit word of the upstream counts as not run", "[gateway][not-run]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request& r) { return Reply{Respond(r, 503, "no"), {}, {}}; });
  fixture.Apply(CallKind::kNonIdempotent);
  const auto unproven = fixture.Call();
  CHECK(unproven->status() == 502);
  CHECK_FALSE(Contains(unproven->received(), "X-Signature"));
}

TEST_CASE("a refused call goes elsewhere, and is refused when all refuse", "[gateway][not-run]") {
  GatewayFixture fixture;
  for (int i = 0; i < 2; ++i) {
    fixture.AddUpstream([](const Request& r) {
      return Reply{Respond(r, 503, "", "X-Not-Run: 1\r\n"), {}, {}};
    });
  }
  fixture.Apply(CallKind::kNonIdempotent);
  const auto caller = fixture.Call();
  CHECK(caller->status() == 503);
  CHECK(Contains(caller->received(), "Retry-After: 0."));
  CHECK(fixture.arrivals() == 2);
}

TEST_CASE("another upstream at the address is not asked again", "[gateway][not-run]") {
  GatewayFixture fixture;
  auto& wrong = fixture.AddUpstream([](const Request& r) {
    return Reply{Respond(r, 421, "", ""), {}, {}};
  });
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(fixture.Call()->status() == 503);
  CHECK(fixture.Call()->status() == 503);
  CHECK(wrong.requests().size() == 1);
}

// Guards against answers that are not the upstream's own.
TEST_CASE("a success without the signature is not passed on", "[gateway][whole-answers]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request& r) {
    return Reply{Respond(r, 200, "spoilt", ""), {}, {}};
  });
  fixture.Apply(CallKind::kNonIdempotent);
  const auto caller = fixture.Call();
  CHECK(caller->status() == 502);
  CHECK_FALSE(Contains(caller->received(), "spoilt"));
}

TEST_CASE("an upstream's own failure is passed on when nothing else is left", "[gateway]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request& r) { return Reply{Respond(r, 500, "broke"), {}, {}}; });
  fixture.Apply(CallKind::kIdempotent);
  const auto caller = fixture.Call();
  CHECK(caller->status() == 500);
  CHECK(Contains(caller->received(), "X-Signature: s"));
}

// Guards against calls that are taken late in a planned stop and cut at its end (hunt of
// donaueis-gw-large, trouble-2, seed 1066777908613: LOST).
TEST_CASE("an instance that stops refuses new calls and ends those under way",
          "[gateway][graceful-stop][not-run]") {
  GatewayFixture fixture;
  auto& upstream = fixture.AddUpstream([](const Request& r) {
    return Reply{Respond(r, 200, "ok"), {}, std::chrono::milliseconds(100)};
  });
  fixture.Apply(CallKind::kNonIdempotent);
  const auto under_way = fixture.Start();
  REQUIRE(RunUntil(&fixture.loop(), [&] { return upstream.requests().size() == 1; }));
  fixture.gateway().StopAdmitting();
  const auto late = fixture.Call();
  CHECK(late->status() == 503);
  // Other instances have room now.
  CHECK(Contains(late->received(), "Retry-After: 0.0"));
  CHECK(RunUntil(&fixture.loop(), [&] { return under_way->status() == 200; }));
  CHECK(upstream.requests().size() == 1);
}

// Guards against callers that come back at once although only the upstream that shed their call had
// room: they would be shed again.
TEST_CASE("a call that was shed and finds no room elsewhere comes back later",
          "[gateway][not-run]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request& r) {
    return Reply{Respond(r, 503, "", "X-Not-Run: 1\r\nX-Load: 0,0,4,100\r\n"), {}, {}};
  });
  auto& slow = fixture.AddUpstream(
      [](const Request& r) {
        return Reply{Respond(r, 200, "ok"), {}, std::chrono::milliseconds(1500)};
      },
      "here", 1);
  fixture.Apply(CallKind::kNonIdempotent);
  std::vector<std::unique_ptr<LoopCaller>> callers;
  while (slow.requests().empty()) {
    callers.push_back(fixture.Start());
    RunUntil(&fixture.loop(), [&] { return !slow.requests().empty() || callers.back()->status(); });
  }
  const auto late = fixture.Call();
  REQUIRE(late->status() == 503);
  const auto field = late->received().find("Retry-After: ");
  REQUIRE(field != std::string::npos);
  const std::chrono::duration<double> shortest = RetryPolicy::kMinRetryAfter;
  CHECK(std::stod(late->received().substr(field + 13)) >= shortest.count());
}

// Guards against calls that are kept beyond the operators' time.
TEST_CASE("a call ends at its route's timeout", "[gateway]") {
  GatewayFixture fixture;
  fixture.timeout = std::chrono::milliseconds(150);
  auto& silent = fixture.AddUpstream([](const Request&) { return Reply(); });
  fixture.Apply(CallKind::kNonIdempotent);
  const auto begin = MonotonicNow();
  CHECK(fixture.Call()->status() == 504);
  CHECK(MonotonicNow() - begin < std::chrono::milliseconds(400));
  CHECK(RunUntil(&fixture.loop(), [&] { return silent.ended() == 1; }));
}

// Guards against work for callers that left.
TEST_CASE("a caller that leaves ends the work at the upstream", "[gateway]") {
  GatewayFixture fixture;
  auto& silent = fixture.AddUpstream([](const Request&) { return Reply(); });
  fixture.Apply(CallKind::kIdempotent);
  auto caller = fixture.Start();
  REQUIRE(RunUntil(&fixture.loop(), [&] { return silent.requests().size() == 1; }));
  caller->Close();
  CHECK(RunUntil(
      &fixture.loop(), [&] { return silent.ended() == 1; }, std::chrono::milliseconds(500)));
  CHECK(fixture.gateway().calls() == 0);
}

// Guards against silent upstreams that cost repeatable calls their whole time.
TEST_CASE("a slow repeatable call is sent to a second upstream", "[gateway]") {
  GatewayFixture fixture;
  int sent = 0;
  for (int i = 0; i < 2; ++i) {
    fixture.AddUpstream([&sent](const Request& r) {
      return ++sent == 1 ? Reply() : Reply{Respond(r, 200, "ok"), {}, {}};
    });
  }
  fixture.Apply(CallKind::kIdempotent);
  CHECK(fixture.Call()->status() == 200);
}

// Guards against a call that probes until its deadline: each answer without the load that the
// upstream used to state asked for the next probe, and began the time for probes anew.
TEST_CASE("a call waits a bounded time for probes", "[gateway][probe-budget]") {
  GatewayFixture fixture;
  fixture.terms.probe = "/health";
  int probes = 0;
  fixture.AddUpstream([&probes](const Request& r) {
    if (r.head.target != "/health") {
      return Reply{Respond(r, 200, "ok"), {}, {}};
    }
    const std::string load = ++probes == 1 ? "X-Load: 0,0,4,100\r\n" : "";
    return Reply{"HTTP/1.1 200 OK\r\n" + load + "Content-Length: 0\r\n\r\n",
                 {},
                 std::chrono::milliseconds(1)};
  });
  fixture.Apply(CallKind::kNonIdempotent);
  CHECK(fixture.Call()->status() == 200);
  RunUntil(
      &fixture.loop(), [] { return false; }, std::chrono::milliseconds(40));
  const auto begin = MonotonicNow();
  CHECK(fixture.Call()->status() == 200);
  CHECK(MonotonicNow() - begin < std::chrono::milliseconds(200));
  CHECK(probes < 20);
}

// Guards against downloads that are refused while another data centre has room (incident inc-9f18).
TEST_CASE("a download leaves its data centre when that has no room in time", "[gateway]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request&) { return Reply(); }, "here", 1);
  fixture.AddUpstream(
      [](const Request& r) {
        return Reply{Respond(r, 200, "far"), {}, {}};
      },
      "there");
  fixture.Apply(CallKind::kDownload);
  const auto first = fixture.Start();
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.arrivals() == 1; }));
  const auto second = fixture.Call();
  CHECK(second->status() == 200);
}

// Guards against a cut download that the caller takes for whole.
TEST_CASE("a large answer that breaks is cut at the caller", "[gateway][whole-answers]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request& r) {
    const std::string is_complete = Respond(r, 200, std::string(4'000'000, 'x'));
    return Reply{is_complete.substr(0, 3'000'000), Then::kClose, {}};
  });
  fixture.Apply(CallKind::kDownload);
  auto caller = fixture.Start();
  CHECK(RunUntil(&fixture.loop(), [&] { return caller->ended(); }));
  CHECK_FALSE(caller->clean());
}

}  // namespace
}  // namespace primroseweir::testing
