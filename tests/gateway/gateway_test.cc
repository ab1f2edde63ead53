#include "primroseweir/gateway/gateway.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "primroseweir/base/line_log.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/gateway/serving_state.h"
#include "primroseweir/routes/route_table.h"
#include "support/loop_server.h"

namespace primroseweir::testing {
namespace {

using Reply = LoopServer::Reply;
using Request = LoopServer::Request;
using Then = LoopServer::Then;

CallFields FieldNames() {
  CallFields fields;
  fields.request_id = "X-Id";
  fields.deadline = "X-Deadline";
  fields.expected_upstream = "X-Expected";
  fields.load = "X-Load";
  fields.not_run = "X-Not-Run";
  fields.signature = "X-Signature";
  fields.upstream_id = "X-Upstream";
  fields.warm_up_left = "X-Warm-Up";
  return fields;
}

// An answer as upstreams send it.
std::string Answer(const Request& request, int status, const std::string& body,
                   const std::string& fields = "X-Signature: s\r\n") {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nX-Id: " + request.head.fields.Get("X-Id") + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A gateway with upstreams that follow scripts, on one event loop.
class GatewayFixture {
 public:
  GatewayFixture() : log_("test", open("/dev/null", O_WRONLY | O_CLOEXEC)) {
    Gateway::Options options;
    options.callers = RandomLoopback();
    options.fields = FieldNames();
    options.book.data_centre = DataCentre("here");
    options.retries = {0.2, 1000, std::chrono::seconds(10)};
    gateway_ = std::make_unique<Gateway>(&loop_, options, &log_, &metrics_);
    REQUIRE(gateway_->Listen().ok());
  }

  LoopServer& AddUpstream(LoopServer::Script script, const std::string& data_centre = "here",
                          std::uint32_t slots = 4) {
    servers_.push_back(std::make_unique<LoopServer>(&loop_, std::move(script)));
    UpstreamRecord record;
    record.id = UpstreamId("u" + std::to_string(servers_.size()));
    record.service = ServiceName("s");
    record.data_centre = DataCentre(data_centre);
    record.address = servers_.back()->address();
    record.slots = slots;
    upstreams_.push_back(record);
    return *servers_.back();
  }

  void Apply(CallKind kind) {
    Route route;
    route.host = "h";
    route.prefix = "/x/";
    route.targets = {{ServiceName("s"), 1}};
    route.kind = kind;
    route.timeout = timeout;
    route.objective = std::chrono::milliseconds(400);
    route.max_attempts = 2;
    auto state = std::make_shared<ServingState>();
    state->routes = std::make_shared<RouteTable>(
        1, std::vector<Route>{route},
        std::map<ServiceName, ServiceTerms>{{ServiceName("s"), ServiceTerms()}}, CallerLimits());
    state->upstreams = upstreams_;
    gateway_->Apply(state, EventLoop::Now());
  }

  std::unique_ptr<LoopCaller> Start(const std::string& target = "/x/1") {
    auto caller = std::make_unique<LoopCaller>(&loop_, gateway_->address());
    caller->Send("POST " + target +
                 " HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nX-Deadline: 2000\r\nContent-Length: "
                 "2\r\n\r\nhi");
    return caller;
  }

  // Runs one call to its answer.
  std::unique_ptr<LoopCaller> Call(const std::string& target = "/x/1") {
    auto caller = Start(target);
    RunUntil(&loop_, [&] { return caller->status() != 0 || caller->ended(); });
    return caller;
  }

  std::size_t arrivals() const {
    std::size_t count = 0;
    for (const auto& server : servers_) {
      count += server->requests().size();
    }
    return count;
  }

  EventLoop& loop() { return loop_; }
  Gateway& gateway() { return *gateway_; }

  Duration timeout = std::chrono::seconds(2);

 private:
  EventLoop loop_;
  LineLog log_;
  GatewayMetrics metrics_;
  std::vector<std::unique_ptr<LoopServer>> servers_;
  std::vector<UpstreamRecord> upstreams_;
  std::unique_ptr<Gateway> gateway_;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("a call reaches an upstream unchanged and its answer the caller", "[gateway]") {
  GatewayFixture fixture;
  auto& upstream = fixture.AddUpstream([](const Request& r) {
    return Reply{Answer(r, 201, "made"), {}, {}};
  });
  fixture.Apply(CallKind::kOnce);
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
  fixture.AddUpstream([](const Request& r) { return Reply{Answer(r, 200, "ok"), {}, {}}; });
  fixture.Apply(CallKind::kOnce);
  CHECK(fixture.Call("/y/1")->status() == 404);
}

// Guards against a second run after a connection that broke once bytes had been sent.
TEST_CASE("a call that must run once is not sent again after a reset", "[gateway][at-most-once]") {
  GatewayFixture fixture;
  for (int i = 0; i < 2; ++i) {
    fixture.AddUpstream([](const Request&) { return Reply{"", Then::kReset, {}}; });
  }
  fixture.Apply(CallKind::kOnce);
  CHECK(fixture.Call()->status() == 502);
  CHECK(fixture.arrivals() == 1);
}

TEST_CASE("a call that may repeat goes to another upstream after a reset", "[gateway]") {
  GatewayFixture fixture;
  int sent = 0;
  for (int i = 0; i < 2; ++i) {
    fixture.AddUpstream([&sent](const Request& r) {
      return ++sent == 1 ? Reply{"", Then::kReset, {}} : Reply{Answer(r, 200, "ok"), {}, {}};
    });
  }
  fixture.Apply(CallKind::kRepeatable);
  CHECK(fixture.Call()->status() == 200);
  CHECK(fixture.arrivals() == 2);
}

// Guards against "not run" on the mere word of a status.
TEST_CASE("only an explicit word of the upstream counts as not run", "[gateway][not-run]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request& r) { return Reply{Answer(r, 503, "no"), {}, {}}; });
  fixture.Apply(CallKind::kOnce);
  const auto unproven = fixture.Call();
  CHECK(unproven->status() == 502);
  CHECK_FALSE(Contains(unproven->received(), "X-Signature"));
}

TEST_CASE("a refused call goes elsewhere, and is refused when all refuse", "[gateway][not-run]") {
  GatewayFixture fixture;
  for (int i = 0; i < 2; ++i) {
    fixture.AddUpstream([](const Request& r) {
      return Reply{Answer(r, 503, "", "X-Not-Run: 1\r\n"), {}, {}};
    });
  }
  fixture.Apply(CallKind::kOnce);
  const auto caller = fixture.Call();
  CHECK(caller->status() == 503);
  CHECK(Contains(caller->received(), "Retry-After: 0."));
  CHECK(fixture.arrivals() == 2);
}

TEST_CASE("another upstream at the address is not asked again", "[gateway][not-run]") {
  GatewayFixture fixture;
  auto& wrong = fixture.AddUpstream([](const Request& r) {
    return Reply{Answer(r, 421, "", ""), {}, {}};
  });
  fixture.Apply(CallKind::kOnce);
  CHECK(fixture.Call()->status() == 503);
  CHECK(fixture.Call()->status() == 503);
  CHECK(wrong.requests().size() == 1);
}

// Guards against answers that are not the upstream's own.
TEST_CASE("a success without the signature is not passed on", "[gateway][whole-answers]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request& r) { return Reply{Answer(r, 200, "spoilt", ""), {}, {}}; });
  fixture.Apply(CallKind::kOnce);
  const auto caller = fixture.Call();
  CHECK(caller->status() == 502);
  CHECK_FALSE(Contains(caller->received(), "spoilt"));
}

TEST_CASE("an upstream's own failure is passed on when nothing else is left", "[gateway]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request& r) { return Reply{Answer(r, 500, "broke"), {}, {}}; });
  fixture.Apply(CallKind::kRepeatable);
  const auto caller = fixture.Call();
  CHECK(caller->status() == 500);
  CHECK(Contains(caller->received(), "X-Signature: s"));
}

// Guards against calls that are kept beyond the operators' time.
TEST_CASE("a call ends at its route's timeout", "[gateway]") {
  GatewayFixture fixture;
  fixture.timeout = std::chrono::milliseconds(150);
  auto& silent = fixture.AddUpstream([](const Request&) { return Reply(); });
  fixture.Apply(CallKind::kOnce);
  const auto begin = MonotonicNow();
  CHECK(fixture.Call()->status() == 504);
  CHECK(MonotonicNow() - begin < std::chrono::milliseconds(400));
  CHECK(RunUntil(&fixture.loop(), [&] { return silent.ended() == 1; }));
}

// Guards against work for callers that left.
TEST_CASE("a caller that leaves ends the work at the upstream", "[gateway]") {
  GatewayFixture fixture;
  auto& silent = fixture.AddUpstream([](const Request&) { return Reply(); });
  fixture.Apply(CallKind::kRepeatable);
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
      return ++sent == 1 ? Reply() : Reply{Answer(r, 200, "ok"), {}, {}};
    });
  }
  fixture.Apply(CallKind::kRepeatable);
  CHECK(fixture.Call()->status() == 200);
}

// Guards against downloads that are refused while another data centre has room (incident inc-9f18).
TEST_CASE("a download leaves its data centre when that has no room in time", "[gateway]") {
  GatewayFixture fixture;
  fixture.AddUpstream([](const Request&) { return Reply(); }, "here", 1);
  fixture.AddUpstream(
      [](const Request& r) {
        return Reply{Answer(r, 200, "far"), {}, {}};
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
    const std::string whole = Answer(r, 200, std::string(4'000'000, 'x'));
    return Reply{whole.substr(0, 3'000'000), Then::kClose, {}};
  });
  fixture.Apply(CallKind::kDownload);
  auto caller = fixture.Start();
  CHECK(RunUntil(&fixture.loop(), [&] { return caller->ended(); }));
  CHECK_FALSE(caller->clean());
}

}  // namespace
}  // namespace primroseweir::testing
