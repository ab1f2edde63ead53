// How much of one turn of the event loop a single connection may take. Counts turns, not time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "primroseweir/http/request_head.h"
#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/http_server_exchange.h"
#include "primroseweir/loop/http_server_stream.h"
#include "primroseweir/loop/request_sink.h"
#include "support/loop_server.h"

namespace primroseweir::testing {
namespace {

// Counts in each turn of the loop the requests to a target and the bytes of streamed bodies.
class CountingSink : public RequestSink {
 public:
  CountingSink() { REQUIRE(port_.Listen(RandomLoopback()).ok()); }

  bool ShouldStreamBody(const RequestHead& /*head*/) override { return true; }
  std::size_t MaxHeldBodyBytes(const RequestHead& /*head*/) override { return 0; }
  void OnRequest(HttpServerExchange* exchange, RequestHead* head, std::string body) override {
    ++requests[head->target];
    max_requests_per_turn =
        std::max(max_requests_per_turn, ++requests_by_turn_[{loop_.turn(), head->target}]);
    CountBody(body.size());
    if (!exchange->is_receiving_body()) {
      exchange->Respond(ResponseHead(), "ok");
    }
  }
  void OnBodyPiece(HttpServerExchange* exchange, const std::string& piece, bool last) override {
    CountBody(piece.size());
    if (last) {
      exchange->Respond(ResponseHead(), "ok");
    }
  }

  EventLoop& loop() { return loop_; }
  HttpPort& port() { return port_; }

  std::map<std::string, int> requests;
  int max_requests_per_turn = 0;
  std::size_t body_bytes = 0;
  std::size_t max_body_bytes_per_turn = 0;

 private:
  void CountBody(std::size_t size) {
    body_bytes += size;
    auto& bytes = body_bytes_by_turn_[loop_.turn()];
    bytes += size;
    max_body_bytes_per_turn = std::max(max_body_bytes_per_turn, bytes);
  }

  EventLoop loop_;
  HttpPort port_{&loop_, this, [] {
                   CallerLimits limits;
                   limits.max_body_bytes = std::size_t{64} * 1024 * 1024;
                   return limits;
                 }};
  std::map<std::pair<std::uint64_t, std::string>, int> requests_by_turn_;
  std::map<std::uint64_t, std::size_t> body_bytes_by_turn_;
};

// Guards against a connection whose 2 MB are parsed in one turn, while all others wait.
TEST_CASE("a body is read over many turns of the loop", "[loop]") {
  constexpr std::size_t kBodyBytes = std::size_t{4} * 1024 * 1024;
  // A read may bring 64 KB.
  constexpr std::size_t kMaxBytes = HttpServerStream::kMaxBytesPerTurn + std::size_t{64} * 1024;
  CountingSink sink;
  LoopCaller caller(&sink.loop(), sink.port().address());
  std::string bytes = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const bool has_length = GENERATE(true, false);
  if (has_length) {
    bytes +=
        "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'x');
  } else {
    bytes += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < kBodyBytes / 6; ++i) {
      bytes += "1\r\nx\r\n";
    }
    bytes += "0\r\n\r\n";
  }
  caller.Send(bytes);
  REQUIRE(RunUntil(&sink.loop(), [&] { return !caller.received().empty(); }));
  CHECK(sink.body_bytes == (has_length ? kBodyBytes : kBodyBytes / 6));
  CHECK(sink.max_body_bytes_per_turn <= kMaxBytes / (has_length ? 1 : 6));
}

// Guards against thousands of requests ahead that are served before the first one of another
// connection.
TEST_CASE("requests ahead on one connection take turns with others", "[loop]") {
  CountingSink sink;
  LoopCaller greedy(&sink.loop(), sink.port().address());
  std::string ahead;
  for (int i = 0; i < 10000; ++i) {
    ahead += "GET /greedy HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  greedy.Send(ahead);
  REQUIRE(RunUntil(&sink.loop(), [&] { return sink.requests["/greedy"] > 0; }));
  const int served_before = sink.requests["/greedy"];
  const auto turn_before = sink.loop().turn();
  LoopCaller other(&sink.loop(), sink.port().address());
  other.Send("GET /other HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(RunUntil(&sink.loop(), [&] { return sink.requests["/other"] == 1; }));
  const auto turns = static_cast<int>(sink.loop().turn() - turn_before);
  CHECK(sink.requests["/greedy"] - served_before <=
        (turns + 1) * HttpServerStream::kMaxRequestsPerTurn);
  REQUIRE(RunUntil(&sink.loop(), [&] { return sink.requests["/greedy"] == 10000; }));
  // A read and a continuation may fall into the same turn.
  CHECK(sink.max_requests_per_turn <= 2 * HttpServerStream::kMaxRequestsPerTurn);
}

}  // namespace
}  // namespace primroseweir::testing
