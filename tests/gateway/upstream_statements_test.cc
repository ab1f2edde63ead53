// End-to-end tests of upstreams that state in their responses that they leave or ask for a pause.
#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"

namespace primroseweir::testing {
namespace {

using std::chrono::milliseconds;

Reply RespondOk(const Request& r) { return {FormatResponse(r, 200, "ok"), {}, milliseconds(5)}; }

std::string RetryAfterOf(const LoopCaller& caller) {
  const std::string name = "Retry-After: ";
  const auto start = caller.received().find(name);
  if (start == std::string::npos) {
    return "";
  }
  const auto value = start + name.size();
  return caller.received().substr(value, caller.received().find('\r', value) - value);
}

// Guards against requests to an upstream that stated, in a response of any status or to a probe,
// that it leaves.
TEST_CASE("an upstream that states that it leaves gets no further request",
          "[gateway][upstream-leaving]") {
  for (const int status : {200, 404, 500, 503}) {
    for (const bool in_probe : {false, true}) {
      GatewayFixture fixture;
      fixture.service_settings.probe_target = in_probe ? "/health" : "";
      // The upstream no longer sends the field after the first response.
      bool has_stated = false;
      auto& leaving = fixture.AddUpstream([&](const Request& r) {
        const bool is_probe = r.head.target == "/health";
        const std::string field = is_probe == in_probe && !has_stated ? "X-Leaving: 1\r\n" : "";
        has_stated = has_stated || !field.empty();
        if (is_probe) {
          return Reply{"HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Upstream: u1\r\n" +
                           field + "Content-Length: 0\r\n\r\n",
                       {},
                       {}};
        }
        return Reply{FormatResponse(r, status, "", "X-Signature: s\r\n" + field), {}, {}};
      });
      fixture.Apply(CallKind::kNonIdempotent);
      REQUIRE(RunUntil(&fixture.loop(), [&] {
        fixture.Call();
        return has_stated;
      }));
      fixture.AddUpstream(&RespondOk);
      fixture.Apply(CallKind::kNonIdempotent);
      const auto requests_before = leaving.requests().size();
      for (int i = 0; i < 5; ++i) {
        CHECK(fixture.Call()->status() == 200);
      }
      CHECK(leaving.requests().size() == requests_before);
      // Its idle connections are closed.
      CHECK(RunUntil(&fixture.loop(),
                     [&] { return leaving.ended() == static_cast<int>(leaving.accepted()); }));
    }
  }
}

// Guards against callers that wait for their deadline when the last upstream of a service leaves.
TEST_CASE("calls are refused at once after the last upstream stated that it leaves",
          "[gateway][upstream-leaving][not-run]") {
  GatewayFixture fixture;
  auto& upstream = fixture.AddUpstream([](const Request& r) {
    return Reply{FormatResponse(r, 200, "ok", "X-Signature: s\r\nX-Leaving: 1\r\n"), {}, {}};
  });
  fixture.Apply(CallKind::kIdempotent);
  CHECK(fixture.Call()->status() == 200);
  const auto start = MonotonicNow();
  const auto caller = fixture.Call();
  CHECK(caller->status() == 503);
  CHECK_FALSE(RetryAfterOf(*caller).empty());
  CHECK(MonotonicNow() - start < milliseconds(500));
  CHECK(upstream.requests().size() == 1);
}

// Guards against requests that reach an upstream during the pause that it asked for, and against a
// Retry-After of the upstream that a caller gets with the response of another one.
TEST_CASE("an upstream that asks for a pause gets no request until its end", "[gateway][not-run]") {
  for (const char* pause : {"1", "0.8"}) {
    GatewayFixture fixture;
    bool has_refused = false;
    const auto script = [&](const Request& r) {
      if (std::exchange(has_refused, true)) {
        return RespondOk(r);
      }
      const auto fields = "X-Not-Run: 1\r\nRetry-After: " + std::string(pause) + "\r\n";
      return Reply{FormatResponse(r, 503, "", fields), {}, {}};
    };
    std::vector<LoopServer*> upstreams;
    for (int i = 0; i < 2; ++i) {
      upstreams.push_back(&fixture.AddUpstream(script, "here", 1));
    }
    fixture.Apply(CallKind::kNonIdempotent);
    const auto first = fixture.Call();
    CHECK(first->status() == 200);
    CHECK(RetryAfterOf(*first).empty());
    const auto start = MonotonicNow();
    const auto fewest_requests = [&upstreams] {
      return std::min(upstreams[0]->requests().size(), upstreams[1]->requests().size());
    };
    // Two calls at a time are more than the slots of the other upstream.
    const auto send_two_calls = [&fixture] {
      const auto a = fixture.StartCall();
      const auto b = fixture.StartCall();
      REQUIRE(RunUntil(&fixture.loop(), [&] { return a->status() != 0 && b->status() != 0; }));
    };
    while (MonotonicNow() - start < milliseconds(700)) {
      send_two_calls();
    }
    // The refusal remains the only request that the paused upstream got.
    CHECK(fewest_requests() == 1);
    CHECK(RunUntil(&fixture.loop(), [&] {
      send_two_calls();
      return fewest_requests() > 1;
    }));
  }
}

// Guards against a caller that is told to come back before any upstream accepts calls again.
TEST_CASE("calls are refused at once with the end of the pause when all upstreams are paused",
          "[gateway][not-run]") {
  GatewayFixture fixture;
  fixture.service_settings.probe_target = "/health";
  for (int i = 0; i < 2; ++i) {
    fixture.AddUpstream([](const Request& r) {
      return Reply{FormatResponse(r, 503, "", "X-Not-Run: 1\r\nRetry-After: 30\r\n"), {}, {}};
    });
  }
  fixture.Apply(CallKind::kNonIdempotent);
  RunUntil(&fixture.loop(),
           [&] { return fixture.Call()->status() == 503 && fixture.request_count() >= 2; });
  const auto requests_before = fixture.request_count();
  for (int i = 0; i < 3; ++i) {
    const auto start = MonotonicNow();
    const auto caller = fixture.Call();
    CHECK(caller->status() == 503);
    CHECK(Contains(caller->received(), "upstreams_paused"));
    CHECK(std::stod(RetryAfterOf(*caller)) > 25);
    CHECK(std::stod(RetryAfterOf(*caller)) <= 30.25);
    CHECK(MonotonicNow() - start < milliseconds(500));
  }
  RunUntil(
      &fixture.loop(), [] { return false; }, milliseconds(600));
  CHECK(fixture.request_count() == requests_before);
}

}  // namespace
}  // namespace primroseweir::testing
