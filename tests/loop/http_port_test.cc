#include "primroseweir/loop/http_port.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "port_fixture.h"
#include "primroseweir/loop/tcp_stream.h"
#include "wire/socket.h"

namespace primroseweir::testing {
namespace {

TEST_CASE("bodies with a length and in chunks arrive whole", "[loop]") {
  PortFixture fixture;
  CHECK(Contains(fixture.Exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
                                  "POST /a abc"),
                 "POST /a abc"));
  CHECK(Contains(fixture.Exchange("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                                  "chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n",
                                  "POST /b def"),
                 "POST /b def"));
}

TEST_CASE("requests sent ahead are answered in their order", "[loop][whole-answers]") {
  PortFixture fixture;
  const auto text = fixture.Exchange(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n", "GET /2");
  CHECK(text.find("GET /1") < text.find("GET /2"));
  CHECK(fixture.requests == 2);
}

// Guards against unbounded memory and against requests beyond the operators' limits.
TEST_CASE("requests beyond the limits are refused", "[loop]") {
  PortFixture fixture;
  fixture.limits.head_bytes = 200;
  fixture.limits.body_bytes = 10;
  const std::string long_field(300, 'x');
  CHECK(Contains(
      fixture.Exchange("GET / HTTP/1.1\r\nHost: h\r\nA: " + long_field + "\r\n\r\n", "431"),
      " 431 "));
  CHECK(
      Contains(fixture.Exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", "413"),
               " 413 "));
  CHECK(Contains(fixture.Exchange("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                                  "chunked\r\n\r\nb\r\n01234567890\r\n",
                                  "413"),
                 " 413 "));
  CHECK(Contains(fixture.Exchange("GET  HTTP/1.1\r\n\r\n", "400"), " 400 "));
  CHECK(fixture.requests == 0);
}

TEST_CASE("a head that takes too long is refused", "[loop]") {
  PortFixture fixture;
  fixture.limits.head_timeout = std::chrono::milliseconds(50);
  CHECK(Contains(fixture.Exchange("GET / HTTP/1.1\r\nHost", " 408 "), " 408 "));
}

// Guards against long bodies that are taken for slow heads.
TEST_CASE("a body may take longer than a head", "[loop]") {
  PortFixture fixture;
  fixture.limits.head_timeout = std::chrono::milliseconds(50);
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  caller.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
  RunUntil(
      &fixture.loop(), [&] { return caller.ended(); }, std::chrono::milliseconds(900));
  caller.Send("bc");
  CHECK(RunUntil(&fixture.loop(), [&] { return Contains(caller.received(), "POST /a abc"); }));
}

// Guards against unbounded memory under a flood of bodies.
TEST_CASE("bodies in the middle share a bounded memory", "[loop]") {
  PortFixture fixture;
  fixture.limits.body_bytes = 8'000'000;
  std::vector<std::unique_ptr<LoopCaller>> callers;
  const std::string half(4'000'000, 'x');
  for (int i = 0; i < 16; ++i) {
    callers.push_back(std::make_unique<LoopCaller>(&fixture.loop(), fixture.port().address()));
    callers.back()->Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n" + half);
  }
  const auto refused = [&] {
    return std::count_if(callers.begin(), callers.end(),
                         [](const auto& caller) { return caller->status() == 503; });
  };
  CHECK(RunUntil(&fixture.loop(), [&] { return refused() >= 4; }));
  callers.clear();
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.port().connections() == 0; }));
  CHECK_FALSE(fixture.port().IsOverMemoryLimit());
}

TEST_CASE("an idle connection closes after the operators' time", "[loop]") {
  PortFixture fixture;
  fixture.limits.idle_timeout = std::chrono::milliseconds(50);
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  CHECK(RunUntil(&fixture.loop(), [&] { return caller.ended(); }));
}

// Guards against work for callers that left.
TEST_CASE("a caller that leaves is noticed while its request is served", "[loop]") {
  PortFixture fixture;
  fixture.hold = true;
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.held != nullptr; }));
  caller.Close();
  CHECK(RunUntil(&fixture.loop(), [&] { return fixture.gone == 1; }));
}

// Guards against requests that are cut by a planned stop.
TEST_CASE("a closing port answers what it has read and then closes", "[loop][graceful-stop]") {
  PortFixture fixture;
  fixture.hold = true;
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.held != nullptr; }));
  fixture.port().Drain(EventLoop::Now());
  fixture.port().StopAccepting();
  fixture.held->Respond(ResponseHead(), "done");
  CHECK(RunUntil(&fixture.loop(), [&] { return caller.ended(); }));
  CHECK(caller.clean());
  CHECK(Contains(caller.received(), "done"));
  CHECK(Contains(caller.received(), "Connection: close"));
}

// Guards against requests that a planned stop cuts although their connection was accepted: by the
// system only, just now, or with the request still unread.
TEST_CASE("a planned stop serves what was accepted before it", "[loop][graceful-stop]") {
  PortFixture fixture;
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  // The system opens the connection while the loop does not run.
  const auto open = [&] {
    auto socket = standins::Socket::Connect(fixture.port().address(),
                                            MonotonicNow() + std::chrono::seconds(1));
    REQUIRE(socket.ok());
    return std::make_unique<standins::Socket>(*std::move(socket));
  };
  const auto send = [&](standins::Socket* socket) {
    REQUIRE(socket->WriteAll(request, MonotonicNow() + std::chrono::seconds(1)).ok());
  };
  LoopCaller kept(&fixture.loop(), fixture.port().address());
  kept.Send(request);
  LoopCaller silent(&fixture.loop(), fixture.port().address());
  REQUIRE(RunUntil(&fixture.loop(),
                   [&] { return fixture.requests == 1 && fixture.port().connections() == 2; }));
  RunUntil(
      &fixture.loop(), [] { return false; }, HttpServerStream::kFirstRequestTimeout);
  auto just_accepted = open();
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.port().connections() == 3; }));
  auto waiting = open();
  send(waiting.get());
  auto late = open();

  fixture.port().StopAccepting();
  fixture.port().Drain(EventLoop::Now());
  CHECK(fixture.port().busy(EventLoop::Now()));
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.requests == 2; }));
  send(just_accepted.get());
  send(late.get());
  CHECK(RunUntil(&fixture.loop(), [&] { return fixture.requests == 4; }));
  // Nobody is expected to send on the others.
  CHECK(RunUntil(&fixture.loop(), [&] { return kept.ended() && silent.ended(); }));
  just_accepted.reset();
  waiting.reset();
  late.reset();
  CHECK(RunUntil(&fixture.loop(), [&] { return !fixture.port().busy(EventLoop::Now()); }));
}

// Guards against a process that ends while its last answers are on their way to slow callers.
TEST_CASE("a port is busy until its answers were taken", "[loop][graceful-stop]") {
  PortFixture fixture;
  fixture.hold = true;
  auto socket =
      standins::Socket::Connect(fixture.port().address(), MonotonicNow() + std::chrono::seconds(1));
  REQUIRE(socket.ok());
  REQUIRE(
      socket
          ->WriteAll("GET / HTTP/1.1\r\nHost: h\r\n\r\n", MonotonicNow() + std::chrono::seconds(1))
          .ok());
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.held != nullptr; }));
  fixture.held->Respond(ResponseHead(), std::string(20'000'000, 'x'));
  fixture.port().StopAccepting();
  fixture.port().Drain(EventLoop::Now());
  RunUntil(
      &fixture.loop(), [] { return false; }, std::chrono::milliseconds(50));
  CHECK(fixture.port().busy(EventLoop::Now()));
  CHECK(fixture.port().connections() == 1);
}

// Guards against a large answer that is cut because its caller pauses: the kernel ends a connection
// whose peer does not read for as long as TCP_USER_TIMEOUT says, also when that peer lives.
TEST_CASE("a caller may pause in the middle of a large answer", "[loop][whole-answers]") {
  PortFixture fixture;
  fixture.hold = true;
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.held != nullptr; }));
  caller.PauseReading();
  constexpr std::size_t kLarge = std::size_t{20} * 1000 * 1000;
  fixture.held->Respond(ResponseHead(), std::string(kLarge, 'a'));
  const auto pause =
      std::chrono::milliseconds(TcpStream::kUnackedTimeoutMilliseconds) + std::chrono::seconds(2);
  RunUntil(
      &fixture.loop(), [] { return false; }, pause);
  REQUIRE_FALSE(caller.ended());
  caller.ResumeReading();
  CHECK(RunUntil(&fixture.loop(), [&] { return caller.received().size() > kLarge; }));
}

}  // namespace
}  // namespace primroseweir::testing
