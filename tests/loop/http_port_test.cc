#include "primroseweir/loop/http_port.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "port_fixture.h"
#include "primroseweir/loop/http_server_stream.h"
#include "primroseweir/loop/tcp_stream.h"
#include "wire/socket.h"

namespace primroseweir::testing {
namespace {

TEST_CASE("bodies with a length and chunked bodies arrive complete", "[loop]") {
  PortFixture fixture;
  CHECK(Contains(fixture.Exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
                                  "POST /a abc"),
                 "POST /a abc"));
  CHECK(Contains(fixture.Exchange("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                                  "chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n",
                                  "POST /b def"),
                 "POST /b def"));
}

TEST_CASE("responses to pipelined requests arrive in the order of the requests",
          "[loop][whole-answers]") {
  PortFixture fixture;
  const auto text = fixture.Exchange(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n", "GET /2");
  CHECK(text.find("GET /1") < text.find("GET /2"));
  CHECK(fixture.request_count == 2);
}

// Guards against unbounded memory and against requests above the limits that operators configure.
TEST_CASE("malformed requests and those above the head or body limits are rejected", "[loop]") {
  PortFixture fixture;
  fixture.limits.max_head_bytes = 200;
  fixture.limits.max_body_bytes = 10;
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
  CHECK(fixture.request_count == 0);
}

TEST_CASE("a request head that exceeds the head timeout is rejected", "[loop]") {
  PortFixture fixture;
  fixture.limits.head_timeout = std::chrono::milliseconds(50);
  CHECK(Contains(fixture.Exchange("GET / HTTP/1.1\r\nHost", " 408 "), " 408 "));
}

// Guards against applying the head timeout to slow bodies.
TEST_CASE("a request body may take longer than the head timeout", "[loop]") {
  PortFixture fixture;
  fixture.limits.head_timeout = std::chrono::milliseconds(50);
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  caller.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
  RunUntil(
      &fixture.loop(), [&] { return caller.ended(); }, std::chrono::milliseconds(900));
  caller.Send("bc");
  CHECK(RunUntil(&fixture.loop(), [&] { return Contains(caller.received(), "POST /a abc"); }));
}

// Guards against unbounded memory when many callers send large bodies at the same time.
TEST_CASE("incomplete bodies above the shared memory limit are rejected with 503", "[loop]") {
  PortFixture fixture;
  fixture.limits.max_body_bytes = 8'000'000;
  std::vector<std::unique_ptr<LoopCaller>> callers;
  const std::string half_body(4'000'000, 'x');
  for (int i = 0; i < 16; ++i) {
    callers.push_back(std::make_unique<LoopCaller>(&fixture.loop(), fixture.port().address()));
    callers.back()->Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n" +
                         half_body);
  }
  const auto count_rejected = [&] {
    return std::count_if(callers.begin(), callers.end(),
                         [](const auto& caller) { return caller->status() == 503; });
  };
  CHECK(RunUntil(&fixture.loop(), [&] { return count_rejected() >= 4; }));
  callers.clear();
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.port().connection_count() == 0; }));
  CHECK_FALSE(fixture.port().IsOverMemoryLimit());
}

TEST_CASE("an idle connection closes after the configured idle time", "[loop]") {
  PortFixture fixture;
  fixture.limits.idle_timeout = std::chrono::milliseconds(50);
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  CHECK(RunUntil(&fixture.loop(), [&] { return caller.ended(); }));
}

// Guards against work for callers that have disconnected.
TEST_CASE("a caller that disconnects is noticed while its request is served", "[loop]") {
  PortFixture fixture;
  fixture.hold_requests = true;
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.held_stream != nullptr; }));
  caller.Close();
  CHECK(RunUntil(&fixture.loop(), [&] { return fixture.disconnect_count == 1; }));
}

// Guards against requests that a planned stop cuts off.
TEST_CASE("a draining port responds to the request that it has read, then closes the connection",
          "[loop][graceful-stop]") {
  PortFixture fixture;
  fixture.hold_requests = true;
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.held_stream != nullptr; }));
  fixture.port().Drain(EventLoop::Now());
  fixture.port().StopAccepting();
  fixture.held_stream->Respond(ResponseHead(), "done");
  CHECK(RunUntil(&fixture.loop(), [&] { return caller.ended(); }));
  CHECK(caller.clean());
  CHECK(Contains(caller.received(), "done"));
  CHECK(Contains(caller.received(), "Connection: close"));
}

// Guards against a planned stop that cuts off requests although their connection was accepted: by
// the kernel only, just now, or with the request still unread.
TEST_CASE("a draining port serves requests on connections accepted before the stop",
          "[loop][graceful-stop]") {
  PortFixture fixture;
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  // The kernel establishes the connection while the event loop does not run.
  const auto open_connection = [&] {
    auto socket = standins::Socket::Connect(fixture.port().address(),
                                            MonotonicNow() + std::chrono::seconds(1));
    REQUIRE(socket.ok());
    return std::make_unique<standins::Socket>(*std::move(socket));
  };
  const auto send_request = [&](standins::Socket* socket) {
    REQUIRE(socket->WriteAll(request, MonotonicNow() + std::chrono::seconds(1)).ok());
  };
  LoopCaller served_caller(&fixture.loop(), fixture.port().address());
  served_caller.Send(request);
  LoopCaller silent_caller(&fixture.loop(), fixture.port().address());
  REQUIRE(RunUntil(&fixture.loop(), [&] {
    return fixture.request_count == 1 && fixture.port().connection_count() == 2;
  }));
  RunUntil(
      &fixture.loop(), [] { return false; }, HttpServerStream::kFirstRequestTimeout);
  auto just_accepted = open_connection();
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.port().connection_count() == 3; }));
  auto waiting = open_connection();
  send_request(waiting.get());
  auto late = open_connection();

  fixture.port().StopAccepting();
  fixture.port().Drain(EventLoop::Now());
  CHECK(fixture.port().IsBusy(EventLoop::Now()));
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.request_count == 2; }));
  send_request(just_accepted.get());
  send_request(late.get());
  CHECK(RunUntil(&fixture.loop(), [&] { return fixture.request_count == 4; }));
  // No first request is expected on the other connections.
  CHECK(RunUntil(&fixture.loop(), [&] { return served_caller.ended() && silent_caller.ended(); }));
  just_accepted.reset();
  waiting.reset();
  late.reset();
  CHECK(RunUntil(&fixture.loop(), [&] { return !fixture.port().IsBusy(EventLoop::Now()); }));
}

// Guards against memory that grows with the number of pipelined requests while their caller does
// not read the responses: an instance exceeded its memory and was killed.
TEST_CASE("pipelined requests wait while the caller has not read earlier responses",
          "[loop][whole-answers]") {
  PortFixture fixture;
  constexpr std::size_t kResponseBytes = std::size_t{300} * 1000;
  constexpr int kRequests = 300;
  fixture.response_body = std::string(kResponseBytes, 'x');
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  RunUntil(&fixture.loop(), [&] { return fixture.port().connection_count() == 1; });
  caller.PauseReading();
  for (int i = 0; i < kRequests; ++i) {
    caller.Send("GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  RunUntil(
      &fixture.loop(), [] { return false; }, std::chrono::milliseconds(500));
  // The kernel buffers up to 10 MB on both sides.
  CHECK(fixture.request_count > 0);
  CHECK(fixture.request_count < 50);
  caller.ResumeReading();
  CHECK(RunUntil(&fixture.loop(),
                 [&] { return caller.received().size() > kRequests * kResponseBytes; }));
  CHECK(fixture.request_count == kRequests);
}

// Guards against a response that is cut off because its connection closes after it: the connection
// was closed a second after the last bytes were queued, although the caller was still reading.
TEST_CASE("a slow caller receives the whole of a response that ends its connection",
          "[loop][whole-answers]") {
  PortFixture fixture;
  fixture.limits.max_body_bytes = std::size_t{64} * 1024 * 1024;
  fixture.hold_requests = true;
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  caller.Send("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.held_stream != nullptr; }));
  // More than the kernel buffers on both sides.
  const std::string body(std::size_t{16} * 1024 * 1024, 'x');
  fixture.held_stream->Respond(ResponseHead(), body);
  // Pauses that exceed both limits on lingering together.
  for (int i = 0; i < 3; ++i) {
    caller.PauseReading();
    RunUntil(
        &fixture.loop(), [] { return false; }, std::chrono::milliseconds(2200));
    CHECK(fixture.port().connection_count() == 1);
    const auto received = caller.received().size();
    caller.ResumeReading();
    RunUntil(&fixture.loop(),
             [&] { return caller.ended() || caller.received().size() > received + 1'000'000; });
  }
  REQUIRE(RunUntil(&fixture.loop(), [&] { return caller.ended(); }));
  CHECK(caller.clean());
  CHECK(caller.received().size() > body.size());
  CHECK(RunUntil(&fixture.loop(), [&] { return fixture.port().connection_count() == 0; }));
}

// Guards against a response that is cut off on a connection that stays open, when the caller needs
// longer for it than the idle timeout.
TEST_CASE("a slow caller receives the whole of a response that outlasts the idle timeout",
          "[loop][whole-answers]") {
  PortFixture fixture;
  fixture.limits.idle_timeout = std::chrono::milliseconds(300);
  fixture.response_body = std::string(std::size_t{16} * 1024 * 1024, 'x');
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  caller.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.request_count == 1; }));
  caller.PauseReading();
  RunUntil(
      &fixture.loop(), [] { return false; },
      2 * HttpPort::kTimeoutCheckInterval + fixture.limits.idle_timeout);
  CHECK(fixture.port().connection_count() == 1);
  caller.ResumeReading();
  CHECK(RunUntil(&fixture.loop(),
                 [&] { return caller.received().size() > fixture.response_body.size(); }));
  // The idle timeout counts again.
  CHECK(RunUntil(&fixture.loop(), [&] { return fixture.port().connection_count() == 0; }));
}

// Guards against a process that exits while its last responses are in transit to slow callers.
TEST_CASE("a port is busy until the caller has received the response", "[loop][graceful-stop]") {
  PortFixture fixture;
  fixture.hold_requests = true;
  auto socket =
      standins::Socket::Connect(fixture.port().address(), MonotonicNow() + std::chrono::seconds(1));
  REQUIRE(socket.ok());
  REQUIRE(
      socket
          ->WriteAll("GET / HTTP/1.1\r\nHost: h\r\n\r\n", MonotonicNow() + std::chrono::seconds(1))
          .ok());
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.held_stream != nullptr; }));
  fixture.held_stream->Respond(ResponseHead(), std::string(20'000'000, 'x'));
  fixture.port().StopAccepting();
  fixture.port().Drain(EventLoop::Now());
  RunUntil(
      &fixture.loop(), [] { return false; }, std::chrono::milliseconds(50));
  CHECK(fixture.port().IsBusy(EventLoop::Now()));
  CHECK(fixture.port().connection_count() == 1);
}

// Guards against cutting off a large response whose caller pauses: the kernel ends a connection
// whose peer does not read for TCP_USER_TIMEOUT, even when that peer is alive.
TEST_CASE("a caller may stop reading a large response for 5 s", "[loop][whole-answers]") {
  PortFixture fixture;
  fixture.hold_requests = true;
  LoopCaller caller(&fixture.loop(), fixture.port().address());
  caller.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(&fixture.loop(), [&] { return fixture.held_stream != nullptr; }));
  caller.PauseReading();
  constexpr std::size_t kResponseBytes = std::size_t{20} * 1000 * 1000;
  fixture.held_stream->Respond(ResponseHead(), std::string(kResponseBytes, 'a'));
  const auto pause =
      std::chrono::milliseconds(TcpStream::kUnackedTimeoutMilliseconds) + std::chrono::seconds(2);
  RunUntil(
      &fixture.loop(), [] { return false; }, pause);
  REQUIRE_FALSE(caller.ended());
  caller.ResumeReading();
  CHECK(RunUntil(&fixture.loop(), [&] { return caller.received().size() > kResponseBytes; }));
}

}  // namespace
}  // namespace primroseweir::testing
