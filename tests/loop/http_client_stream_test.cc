#include "primroseweir/loop/http_client_stream.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"
#include "support/loop_server.h"
#include "support/loopback.h"

namespace primroseweir::testing {
namespace {

using Reply = LoopServer::Reply;
using Then = LoopServer::Then;

// Sends one request and records its response or failure.
class Exchange : public HttpClientCallbacks {
 public:
  explicit Exchange(LoopServer::Script script, const std::string& echo = "")
      : server_(&loop_, std::move(script)), stream_(&loop_, server_.address()) {
    RequestHead head;
    head.fields.Add("Host", "test");
    const HttpClientStream::Echo field{echo.empty() ? "" : "X-Id", echo};
    stream_.Send(head, "", field, this);
    RunUntil(&loop_, [this] { return is_complete || failure.has_value(); });
  }

  void OnResponse(ResponseHead* head, std::string piece, bool last) override {
    status = head->status;
    body += piece;
    is_complete = last;
    ++piece_count;
  }
  void OnFailure(Failure reason) override { failure = reason; }

  HttpClientStream& stream() { return stream_; }

  int status = 0;
  std::string body;
  bool is_complete = false;
  int piece_count = 0;
  std::optional<Failure> failure;

 private:
  EventLoop loop_;
  LoopServer server_;
  HttpClientStream stream_;
};

// Sends several requests on one connection, one after the other.
class KeptConnection {
 public:
  struct Result : HttpClientCallbacks {
    void OnResponse(ResponseHead* head, std::string piece, bool last) override {
      status = head->status;
      body += piece;
      is_complete = last;
    }
    void OnFailure(Failure /*reason*/) override { has_failed = true; }
    void OnUnidentifiedError() override { has_unidentified_error = true; }

    int status = 0;
    std::string body;
    bool is_complete = false;
    bool has_failed = false;
    bool has_unidentified_error = false;
  };

  explicit KeptConnection(LoopServer::Script script)
      : server_(&loop_, std::move(script)), stream_(&loop_, server_.address()) {}

  // Sends a request that carries `id`, or no id if it is empty, and waits for its response for up
  // to a second.
  std::unique_ptr<Result> Send(const std::string& target, const std::string& id) {
    auto result = std::make_unique<Result>();
    RequestHead head;
    head.target = target;
    head.fields.Add("Host", "test");
    stream_.Send(head, "", {"X-Id", id}, result.get());
    const auto has_ended = [&] { return result->is_complete || result->has_failed; };
    if (!RunUntil(&loop_, has_ended, std::chrono::seconds(1))) {
      stream_.Abandon();
    }
    return result;
  }

  HttpClientStream& stream() { return stream_; }

 private:
  EventLoop loop_;
  LoopServer server_;
  HttpClientStream stream_;
};

Reply MakeReply(const std::string& bytes, Then then = Then::kKeep) { return {bytes, then, {}}; }

TEST_CASE("a response with a length is complete and leaves the connection reusable", "[loop]") {
  Exchange exchange([](const auto&) {
    return MakeReply("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nKeep-Alive: timeout=7\r\n\r\nabc");
  });
  CHECK(exchange.is_complete);
  CHECK(exchange.body == "abc");
  CHECK(exchange.stream().is_reusable());
  CHECK(exchange.stream().keep_alive_timeout() == std::chrono::seconds(7));
}

// Guards against a truncated response that is taken for complete: libuv reports an ordinary end of
// the stream when a reset arrives together with the last bytes.
TEST_CASE("a response without a length is complete only after an orderly close of the connection",
          "[loop][whole-answers]") {
  const std::string bytes = "HTTP/1.1 200 OK\r\n\r\nabc";
  Exchange ended([&](const auto&) { return MakeReply(bytes, Then::kClose); });
  CHECK(ended.is_complete);
  CHECK(ended.body == "abc");
  Exchange reset([&](const auto&) { return MakeReply(bytes, Then::kReset); });
  CHECK_FALSE(reset.is_complete);
  REQUIRE(reset.failure.has_value());
  CHECK(*reset.failure == HttpClientCallbacks::Failure::kReset);
}

TEST_CASE("a response shorter than its Content-Length is a failure", "[loop][whole-answers]") {
  Exchange exchange([](const auto&) {
    return MakeReply("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc", Then::kClose);
  });
  REQUIRE(exchange.failure.has_value());
  CHECK(*exchange.failure == HttpClientCallbacks::Failure::kClosed);
}

TEST_CASE("bytes that are not an HTTP response are a failure", "[loop][whole-answers]") {
  Exchange exchange([](const auto&) { return MakeReply("\x01\x02garbage\r\n\r\n"); });
  REQUIRE(exchange.failure.has_value());
  CHECK(*exchange.failure == HttpClientCallbacks::Failure::kMalformed);
}

// Guards against a late response to an earlier request that reaches the next caller.
TEST_CASE("a response that echoes the field value of another request is discarded",
          "[loop][whole-answers]") {
  Exchange exchange(
      [](const auto&) {
        return MakeReply(
            "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"
            "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine");
      },
      "mine");
  CHECK(exchange.is_complete);
  CHECK(exchange.body == "mine");
  CHECK_FALSE(exchange.stream().is_reusable());
}

TEST_CASE("a successful response without the echo field does not complete the request",
          "[loop][whole-answers]") {
  Exchange exchange(
      [](const auto&) {
        return MakeReply("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", Then::kClose);
      },
      "mine");
  CHECK_FALSE(exchange.is_complete);
  CHECK(exchange.failure.has_value());
}

// Guards against a refusal that a server sends once more on a kept connection: without an id, the
// copy was taken for the answer to the next request, which the server had executed.
TEST_CASE("an error response without the echo field is no answer",
          "[loop][whole-answers][not-run]") {
  for (const char* status : {"400 Bad", "421 Misdirected", "429 Many", "503 Full", "504 Late"}) {
    const auto refusal = "HTTP/1.1 " + std::string(status) + "\r\nContent-Length: 0\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine";
    KeptConnection connection([&](const auto& request) {
      return MakeReply(request.head.target == "/probe" ? refusal : refusal + answer);
    });
    // A probe carries no id.
    const auto probe = connection.Send("/probe", "");
    REQUIRE(probe->is_complete);
    CHECK(probe->status == std::atoi(status));
    REQUIRE(connection.stream().is_reusable());
    const auto result = connection.Send("/1", "mine");
    REQUIRE(result->is_complete);
    CHECK(result->status == 200);
    CHECK(result->body == "mine");
    CHECK_FALSE(connection.stream().is_reusable());
  }
}

// Guards against a call that fails although it was not executed: a server that has taken over the
// address of another one may not read the request. The first response on a connection is no copy.
TEST_CASE("a 421 without the echo field is an answer only as the first on its connection",
          "[loop][not-run]") {
  const auto script = [](const auto& request) {
    return MakeReply(request.head.target == "/1"
                         ? "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
                         : "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n");
  };
  KeptConnection fresh(script);
  CHECK(fresh.Send("/1", "mine")->status == 421);
  KeptConnection kept(script);
  REQUIRE(kept.Send("/0", "first")->is_complete);
  CHECK_FALSE(kept.Send("/1", "mine")->is_complete);
}

// Guards against a request that counts as refused, or waits without a sign of it, after such a
// copy.
TEST_CASE("an error response without the echo field is reported while the request waits",
          "[loop][not-run]") {
  KeptConnection connection([&](const auto& request) {
    return MakeReply(request.head.target == "/1"
                         ? "HTTP/1.1 200 OK\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n"
                         : "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
  });
  const auto first = connection.Send("/1", "first");
  REQUIRE(first->is_complete);
  CHECK_FALSE(first->has_unidentified_error);
  const auto second = connection.Send("/2", "second");
  CHECK_FALSE(second->is_complete);
  CHECK(second->has_unidentified_error);
}

// Guards against a second copy of the response to a probe that ends the next request.
TEST_CASE("a copy of a successful response without the echo field is discarded",
          "[loop][whole-answers]") {
  const std::string healthy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  KeptConnection connection([&](const auto& request) {
    return MakeReply(request.head.target == "/health"
                         ? healthy
                         : healthy +
                               "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nmine");
  });
  CHECK(connection.Send("/health", "")->status == 200);
  REQUIRE(connection.stream().is_reusable());
  CHECK(connection.Send("/1", "mine")->body == "mine");
}

// Guards against a part of a head that counts as a whole response.
TEST_CASE("a response whose head is cut off at any byte is a failure", "[loop][whole-answers]") {
  const std::string fields = "X-Id: mine\r\nX-Signature: s\r\n";
  // Framed by a length, by chunks and by the end of the connection; the second one after an interim
  // response.
  const std::vector<std::string> heads = {
      "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 30\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + fields +
          "Transfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + fields + "\r\n"};
  for (const auto& head : heads) {
    for (std::size_t size = 0; size < head.size(); ++size) {
      for (const auto then : {Then::kClose, Then::kReset}) {
        Exchange exchange([&](const auto&) { return MakeReply(head.substr(0, size), then); },
                          "mine");
        INFO(head.substr(0, size));
        CHECK_FALSE(exchange.is_complete);
        CHECK(exchange.piece_count == 0);
        CHECK(exchange.failure.has_value());
      }
    }
  }
}

// Guards against extra bytes after a response that the next request would take for its response.
TEST_CASE("a connection with extra bytes after the response is not used again",
          "[loop][whole-answers]") {
  Exchange exchange([](const auto&) {
    return MakeReply("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n");
  });
  CHECK(exchange.is_complete);
  CHECK_FALSE(exchange.stream().is_reusable());
}

TEST_CASE("a large response is handed over in pieces", "[loop]") {
  const std::string content(2 * HttpClientStream::kMaxBufferedBytes, 'x');
  Exchange exchange([&](const auto&) {
    return MakeReply("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(content.size()) +
                     "\r\n\r\n" + content);
  });
  CHECK(exchange.is_complete);
  CHECK(exchange.piece_count > 1);
  CHECK(exchange.body == content);
}

TEST_CASE("a request to a closed port is a connect failure", "[loop]") {
  EventLoop loop;
  struct : HttpClientCallbacks {
    void OnResponse(ResponseHead*, std::string, bool) override {}
    void OnFailure(Failure reason) override { failure = reason; }
    std::optional<Failure> failure;
  } listener;
  HttpClientStream stream(&loop, {"127.0.0.1", 1});
  stream.Send(RequestHead(), "", {}, &listener);
  RunUntil(&loop, [&] { return listener.failure.has_value(); });
  REQUIRE(listener.failure.has_value());
  CHECK(*listener.failure == HttpClientCallbacks::Failure::kConnect);
}

// Guards against a request that reaches its server long after its caller was answered: an attempt
// was given up at the deadline, its connection was closed regularly, and the kernel delivered the
// bytes that a cut link had held up once the link was back (incident retina-leaving-once).
TEST_CASE("a connection whose request has no response is reset when the attempt is given up",
          "[loop]") {
  const bool is_abandoned = GENERATE(false, true);
  const SocketAddress address{RandomLoopback().ip, 39124};
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  REQUIRE(inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr) == 1);
  REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&native), sizeof native) == 0);
  REQUIRE(listen(listener, 1) == 0);
  EventLoop loop;
  KeptConnection::Result result;
  auto stream = std::make_unique<HttpClientStream>(&loop, address);
  RequestHead head;
  head.fields.Add("Host", "test");
  stream->Send(head, "", {}, &result);
  REQUIRE(RunUntil(&loop, [&] { return stream->is_connected() && stream->pending_bytes() == 0; }));
  const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  REQUIRE(connection >= 0);
  char buffer[1024];
  REQUIRE(recv(connection, buffer, sizeof buffer, 0) > 0);
  if (is_abandoned) {
    stream->Abandon();
  }
  stream.reset();
  RunUntil(
      &loop, [] { return false; }, std::chrono::milliseconds(20));
  CHECK(recv(connection, buffer, sizeof buffer, 0) == -1);
  CHECK(errno == ECONNRESET);
  close(connection);
  close(listener);
}

}  // namespace
}  // namespace primroseweir::testing
