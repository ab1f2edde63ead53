// Checks that input without end, from a server or a caller, is cut off or held in bounded memory at
// each stage of reading.
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "port_fixture.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/loop/http_client_stream.h"
#include "primroseweir/loop/http_server_stream.h"
#include "support/flood_server.h"

namespace primroseweir::testing {
namespace {

using Failure = HttpClientCallbacks::Failure;

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
// Memory that one connection may add to this process, including the buffers of the test server.
constexpr std::size_t kMaxMemoryGrowthBytes = 8 * kMegabyte;

std::string Repeat(const std::string& text, std::size_t size) {
  std::string result;
  while (result.size() < size) {
    result += text;
  }
  return result;
}

// Sends one request to a server whose response never ends.
class EndlessResponse : public HttpClientCallbacks {
 public:
  EndlessResponse(std::string first, std::string piece)
      : server_(&loop_, std::move(first), std::move(piece)), stream_(&loop_, server_.address()) {
    const auto resident_before = ResidentBytes();
    RequestHead head;
    head.fields.Add("Host", "test");
    stream_.Send(head, "", {"X-Id", "mine"}, this);
    // A flood of this size shows any buffer that grows with the input.
    RunUntil(&loop_, [this] { return failure || server_.sent() > 200 * kMegabyte; });
    memory_growth = ResidentBytes() > resident_before ? ResidentBytes() - resident_before : 0;
  }

  void OnResponse(ResponseHead* /*head*/, std::string piece, bool /*is_complete*/) override {
    body_bytes += piece.size();
  }
  void OnFailure(Failure reason) override { failure = reason; }
  std::size_t sent() const { return server_.sent(); }

  std::optional<Failure> failure;
  std::size_t body_bytes = 0;
  std::size_t memory_growth = 0;

 private:
  EventLoop loop_;
  FloodServer server_;
  HttpClientStream stream_;
};

// ---- responses ----

TEST_CASE("a response head without end is a failure", "[loop][endless]") {
  EndlessResponse fields("HTTP/1.1 200 OK\r\n", Repeat("A: b\r\n", 400'000));
  CHECK(fields.failure == Failure::kOversized);
  EndlessResponse line("HTTP/1.1 200 ", Repeat("x", 400'000));
  CHECK(line.failure == Failure::kOversized);
  EndlessResponse field("HTTP/1.1 200 OK\r\nA: ", Repeat("x", 400'000));
  CHECK(field.failure == Failure::kOversized);
  EndlessResponse blank("\r\n", Repeat("\r\n", 400'000));
  CHECK(blank.failure == Failure::kOversized);
  for (const auto* response : {&fields, &line, &field, &blank}) {
    CHECK(response->sent() < 4 * kMegabyte);
    CHECK(response->memory_growth < kMaxMemoryGrowthBytes);
  }
}

TEST_CASE("interim responses without end are a failure", "[loop][endless]") {
  EndlessResponse response("", Repeat("HTTP/1.1 100 Continue\r\n\r\n", 400'000));
  CHECK(response.failure == Failure::kOversized);
  CHECK(response.sent() < 4 * kMegabyte);
}

// A body without end is handed over in pieces; ending it is up to the listener.
TEST_CASE("a response body without end is handed over through a bounded buffer",
          "[loop][endless]") {
  const std::string chunk = "61a80\r\n" + std::string(400'000, 'x') + "\r\n";
  EndlessResponse chunked("HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n",
                          chunk);
  EndlessResponse until_close("HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\n", std::string(400'000, 'x'));
  for (const auto* response : {&chunked, &until_close}) {
    CHECK_FALSE(response->failure.has_value());
    CHECK(response->body_bytes > 100 * kMegabyte);
    CHECK(response->memory_growth < kMaxMemoryGrowthBytes);
  }
}

TEST_CASE("a chunk's size line and trailers without end are a failure", "[loop][endless]") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n";
  EndlessResponse extension(head + "1;a=", Repeat("b", 400'000));
  CHECK(extension.failure == Failure::kMalformed);
  EndlessResponse trailers(head + "1\r\nx\r\n0\r\n", Repeat("A: b\r\n", 400'000));
  CHECK(trailers.failure == Failure::kMalformed);
  EndlessResponse zeros(head, Repeat("0", 400'000));
  CHECK(zeros.failure == Failure::kMalformed);
}

TEST_CASE("stray responses without end are a failure", "[loop][endless]") {
  const std::string stray_head = "HTTP/1.1 200 OK\r\nX-Id: old\r\n";
  EndlessResponse many_responses("", Repeat(stray_head + "Content-Length: 3\r\n\r\nold", 400'000));
  CHECK(many_responses.failure == Failure::kOversized);
  EndlessResponse one_response(stray_head + "\r\n", Repeat("x", 400'000));
  CHECK(one_response.failure == Failure::kOversized);
  for (const auto* response : {&many_responses, &one_response}) {
    CHECK(response->body_bytes == 0);
    CHECK(response->sent() < 2 * HttpClientStream::kMaxStrayBytes + 4 * kMegabyte);
    CHECK(response->memory_growth < kMaxMemoryGrowthBytes);
  }
}

// Guards against an idle connection that reads and discards a flood for as long as it lasts.
TEST_CASE("bytes without end on an idle connection are not read", "[loop][endless]") {
  EventLoop loop;
  FloodServer server(&loop, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                     std::string(10'000, 'x'), std::chrono::milliseconds(1));
  struct : HttpClientCallbacks {
    void OnResponse(ResponseHead*, std::string, bool is_complete) override { done = is_complete; }
    void OnFailure(Failure) override {}
    bool done = false;
  } listener;
  HttpClientStream stream(&loop, server.address());
  RequestHead head;
  head.fields.Add("Host", "test");
  stream.Send(head, "", {}, &listener);
  REQUIRE(RunUntil(&loop, [&] { return listener.done; }));
  REQUIRE(RunUntil(&loop, [&] { return stream.is_broken(); }));
  RunUntil(
      &loop, [] { return false; }, std::chrono::milliseconds(500));
  // The socket buffers of both ends accept some bytes that nobody reads.
  CHECK(server.sent() < 12 * kMegabyte);
}

// ---- requests ----

// A caller that sends `first`, then `piece` repeatedly until the port closes the connection.
class EndlessCaller : public StreamHandler {
 public:
  EndlessCaller(EventLoop* loop, const SocketAddress& address, std::string first, std::string piece)
      : first_(std::move(first)),
        piece_(std::move(piece)),
        stream_(TcpStream::Connect(loop, address, this)),
        timer_(loop, [this] { Send(); }) {}

  void OnConnected() override {
    stream_->Write(first_);
    timer_.Repeat(std::chrono::milliseconds(1));
  }
  void OnData(const char* data, std::size_t size) override { received.append(data, size); }
  void OnEnd(bool /*clean*/) override { ended = true; }

  std::string received;
  bool ended = false;
  std::size_t sent = 0;

 private:
  void Send() {
    if (!ended && stream_->pending_bytes() == 0) {
      stream_->Write(piece_);
      sent += piece_.size();
    }
  }

  const std::string first_;
  const std::string piece_;
  std::unique_ptr<TcpStream> stream_;
  Timer timer_;
};

TEST_CASE("a request's head, size line and trailers without end are rejected", "[loop][endless]") {
  const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> floods = {
      {"GET / HTTP/1.1\r\n", Repeat("A: b\r\n", 400'000)},
      {"GET /", Repeat("x", 400'000)},
      {"", Repeat("\r\n", 400'000)},
      {chunked + "1;a=", Repeat("b", 400'000)},
      {chunked + "1\r\nx\r\n0\r\n", Repeat("A: b\r\n", 400'000)},
      {chunked, Repeat("1\r\nx\r\n", 600'000)},
  };
  for (const auto& [first, piece] : floods) {
    PortFixture fixture;
    EndlessCaller caller(&fixture.loop(), fixture.port().address(), first, piece);
    CHECK(RunUntil(
        &fixture.loop(), [&] { return caller.ended; },
        HttpServerStream::kMaxLingerTime + std::chrono::seconds(2)));
    CHECK(fixture.request_count == 0);
    CHECK(Contains(caller.received, "Connection: close"));
    CHECK(RunUntil(&fixture.loop(), [&] { return fixture.port().connection_count() == 0; }));
  }
}

// Guards against unbounded memory and time spent on pipelined input while a request is served.
TEST_CASE("pipelined requests sent without end wait in a bounded buffer", "[loop][endless]") {
  PortFixture fixture;
  fixture.hold_requests = true;
  EndlessCaller caller(&fixture.loop(), fixture.port().address(),
                       "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                       Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 60'000));
  RunUntil(
      &fixture.loop(), [] { return false; }, std::chrono::seconds(1));
  CHECK(fixture.request_count == 1);
  CHECK(fixture.port().buffered_bytes() < std::int64_t{256} * 1024);
}

}  // namespace
}  // namespace primroseweir::testing
