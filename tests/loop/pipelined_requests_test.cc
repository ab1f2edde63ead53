// Requests that callers send without waiting for earlier responses.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/http/request_head.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/http_server_exchange.h"
#include "primroseweir/loop/http_server_stream.h"
#include "primroseweir/loop/pipelined_exchange.h"
#include "primroseweir/loop/request_sink.h"
#include "support/loop_server.h"

namespace primroseweir::testing {
namespace {

std::string Get(const std::string& target) {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

// Records what an exchange sends through its connection.
class FakeConnection : public HttpServerExchange {
 public:
  void Respond(ResponseHead head, const std::string& body) override {
    sent += std::to_string(head.status) + " " + body + ";";
  }
  void BeginResponse(ResponseHead head) override { sent += std::to_string(head.status) + " "; }
  void WritePiece(const std::string& piece) override { sent += piece; }
  void EndResponse() override { sent += ";"; }
  void Abort() override { sent += "aborted"; }
  std::size_t pending_bytes() const override { return 7; }
  std::size_t unacked_bytes() const override { return 8; }
  bool is_receiving_body() const override { return false; }
  void PauseBody() override {}
  void ResumeBody() override {}
  void SetSinkBufferedBytes(std::size_t /*bytes*/) override {}

  std::string sent;
};

struct ExchangeFixture {
  FakeConnection connection;
  std::int64_t held_bytes = 0;
  std::unique_ptr<PipelinedExchange> exchange = std::make_unique<PipelinedExchange>(
      &connection, RequestHead(), [this](std::int64_t change) { held_bytes += change; });
};

// Serves requests whose target begins with "/ahead" ahead of their turn, and responds when told to.
class HoldingSink : public RequestSink {
 public:
  HoldingSink() { REQUIRE(port_.Listen(RandomLoopback()).ok()); }

  bool MayServeAhead(const RequestHead& head) override { return head.target.find("/ahead") == 0; }
  void OnRequest(HttpServerExchange* exchange, RequestHead* head, std::string /*body*/) override {
    requests.emplace_back(head->target, exchange);
  }
  void OnCallerDisconnected(HttpServerExchange* /*exchange*/) override { ++disconnect_count; }

  void WaitFor(std::size_t count) {
    RunUntil(&loop_, [&] { return requests.size() >= count; });
    REQUIRE(requests.size() == count);
  }
  void Respond(std::size_t index) {
    requests[index].second->Respond(ResponseHead(), "to " + requests[index].first + "\n");
  }

  EventLoop& loop() { return loop_; }
  HttpPort& port() { return port_; }

  std::vector<std::pair<std::string, HttpServerExchange*>> requests;
  int disconnect_count = 0;

 private:
  EventLoop loop_;
  HttpPort port_{&loop_, this, [] { return CallerLimits(); }};
};

// Runs the loop for long enough that anything sent on a loopback address arrives.
void RunBriefly(EventLoop* loop) {
  RunUntil(
      loop, [] { return false; }, std::chrono::milliseconds(20));
}

// Returns the bodies in the order in which they arrived.
std::string Bodies(const std::string& received) {
  std::string result;
  std::size_t position = 0;
  while ((position = received.find("to /", position)) != std::string::npos) {
    const auto end = received.find('\n', position);
    result += received.substr(position + 3, end - position - 3) + " ";
    position = end;
  }
  return result;
}

}  // namespace

// Guards against a response that overtakes an earlier one on its connection.
TEST_CASE("a response ahead of its turn is held until then", "[loop][pipeline]") {
  ExchangeFixture fixture;
  SECTION("complete") { fixture.exchange->Respond(ResponseHead(), "abc"); }
  SECTION("in pieces") {
    fixture.exchange->BeginResponse(ResponseHead());
    fixture.exchange->WritePiece("ab");
    fixture.exchange->WritePiece("c");
    fixture.exchange->EndResponse();
  }
  CHECK(fixture.connection.sent.empty());
  CHECK(fixture.held_bytes == 3);
  CHECK(fixture.exchange->pending_bytes() == 3);
  fixture.exchange->StartTurn();
  CHECK(fixture.connection.sent == "200 abc;");
  CHECK(fixture.held_bytes == 0);
}

TEST_CASE("a response that has begun continues on the connection in its turn", "[loop][pipeline]") {
  ExchangeFixture fixture;
  fixture.exchange->BeginResponse(ResponseHead());
  fixture.exchange->WritePiece("ab");
  fixture.exchange->StartTurn();
  fixture.exchange->WritePiece("c");
  CHECK(fixture.connection.sent == "200 abc");
  CHECK(fixture.exchange->pending_bytes() == fixture.connection.pending_bytes());
  fixture.exchange->Abort();
  CHECK(fixture.connection.sent == "200 abcaborted");
}

// Guards against one lost upstream that costs all requests of a connection their responses.
TEST_CASE("a response that breaks off ahead of its turn becomes a failure", "[loop][pipeline]") {
  ExchangeFixture fixture;
  fixture.exchange->BeginResponse(ResponseHead());
  fixture.exchange->WritePiece("ab");
  fixture.exchange->Abort();
  CHECK(fixture.held_bytes == 0);
  fixture.exchange->StartTurn();
  CHECK(fixture.connection.sent == "502 ;");
}

TEST_CASE("an exchange that is dropped returns the bytes that it holds", "[loop][pipeline]") {
  ExchangeFixture fixture;
  fixture.exchange->Respond(ResponseHead(), "abc");
  fixture.exchange.reset();
  CHECK(fixture.held_bytes == 0);
}

// Guards against requests that are late by the latency of those before them on their connection.
TEST_CASE("pipelined requests are served at the same time and answered in order",
          "[loop][pipeline]") {
  HoldingSink sink;
  LoopCaller caller(&sink.loop(), sink.port().address());
  caller.Send(Get("/ahead1") + Get("/ahead2") + Get("/ahead3"));
  sink.WaitFor(3);
  sink.Respond(2);
  sink.Respond(1);
  RunBriefly(&sink.loop());
  CHECK(caller.received().empty());
  sink.Respond(0);
  RunUntil(&sink.loop(), [&] { return Bodies(caller.received()).size() >= 24; });
  CHECK(Bodies(caller.received()) == "/ahead1 /ahead2 /ahead3 ");
  // The connection serves further requests.
  caller.Send(Get("/later"));
  sink.WaitFor(4);
  sink.Respond(3);
  RunUntil(&sink.loop(), [&] { return Bodies(caller.received()).size() >= 31; });
  CHECK(Bodies(caller.received()) == "/ahead1 /ahead2 /ahead3 /later ");
}

TEST_CASE("a request that may not be served ahead waits for its turn", "[loop][pipeline]") {
  HoldingSink sink;
  LoopCaller caller(&sink.loop(), sink.port().address());
  const std::string post = "POST /ahead HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
  const std::string second = GENERATE_REF(Get("/other"), post);
  caller.Send(Get("/ahead1") + second + Get("/ahead3"));
  RunBriefly(&sink.loop());
  REQUIRE(sink.requests.size() == 1);
  sink.Respond(0);
  // The third one waits behind the second, which allows none ahead.
  sink.WaitFor(2);
  RunBriefly(&sink.loop());
  REQUIRE(sink.requests.size() == 2);
  sink.Respond(1);
  sink.WaitFor(3);
}

TEST_CASE("one connection has a bounded number of requests ahead", "[loop][pipeline]") {
  HoldingSink sink;
  LoopCaller caller(&sink.loop(), sink.port().address());
  std::string requests;
  for (int i = 0; i < 20; ++i) {
    requests += Get("/ahead");
  }
  caller.Send(requests);
  sink.WaitFor(1 + HttpServerStream::kMaxRequestsAhead);
  RunBriefly(&sink.loop());
  CHECK(sink.requests.size() == 1 + HttpServerStream::kMaxRequestsAhead);
  sink.Respond(0);
  sink.WaitFor(2 + HttpServerStream::kMaxRequestsAhead);
}

// Guards against upstreams that work on for a caller that has left.
TEST_CASE("the sink learns of a disconnect for each request in progress", "[loop][pipeline]") {
  HoldingSink sink;
  auto caller = std::make_unique<LoopCaller>(&sink.loop(), sink.port().address());
  caller->Send(Get("/ahead1") + Get("/ahead2") + Get("/ahead3"));
  sink.WaitFor(3);
  SECTION("of the caller") { caller.reset(); }
  SECTION("by a reset of the current response") {
    // The sink ends the first call itself.
    sink.requests[0].second->Abort();
    sink.disconnect_count = sink.disconnect_count + 1;
  }
  RunUntil(&sink.loop(), [&] { return sink.disconnect_count >= 3; });
  CHECK(sink.disconnect_count == 3);
}

// Guards against the account of a connection that reads the list of requests ahead while these are
// destroyed (a use after free that AddressSanitizer showed).
TEST_CASE("an eviction drops the requests ahead and what they hold", "[loop][pipeline]") {
  HoldingSink sink;
  auto& connections = sink.loop().connections();
  LoopCaller caller(&sink.loop(), sink.port().address());
  caller.Send(Get("/ahead1") + Get("/ahead2") + Get("/ahead3") + Get("/ahead4"));
  sink.WaitFor(4);
  sink.requests[2].second->Respond(ResponseHead(), std::string(2 * 1024 * 1024, 'x'));
  REQUIRE(connections.memory().held_bytes() > 2 * 1024 * 1024);
  connections.memory().SetBudget(1);
  RunUntil(&sink.loop(), [&] { return sink.port().connection_count() == 0; });
  CHECK(sink.port().connection_count() == 0);
  CHECK(sink.disconnect_count == 4);
  CHECK(connections.memory().held_bytes() == 0);
  CHECK(sink.port().buffered_bytes() == 0);
}

// Guards against requests that were passed on and lose their response to a planned stop.
TEST_CASE("a stop answers the requests in progress and reads none behind them",
          "[loop][pipeline]") {
  HoldingSink sink;
  LoopCaller caller(&sink.loop(), sink.port().address());
  caller.Send(Get("/ahead1") + Get("/ahead2"));
  sink.WaitFor(2);
  sink.port().Drain(EventLoop::Now());
  caller.Send(Get("/ahead3"));
  sink.Respond(0);
  RunBriefly(&sink.loop());
  CHECK(sink.requests.size() == 2);
  CHECK(caller.received().find("Connection: close") == std::string::npos);
  sink.Respond(1);
  RunUntil(&sink.loop(), [&] { return caller.ended(); });
  CHECK(Bodies(caller.received()) == "/ahead1 /ahead2 ");
  CHECK(caller.received().find("Connection: close") != std::string::npos);
  CHECK(sink.requests.size() == 2);
}

}  // namespace primroseweir::testing
