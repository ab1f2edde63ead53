#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "primroseweir/http/client_connection.h"
#include "primroseweir/http/http_server.h"
#include "primroseweir/http/request_handler.h"
#include "primroseweir/http/server_connection.h"
#include "support/loopback.h"

namespace primroseweir {
namespace {

using std::chrono::seconds;

Instant TestDeadline() { return MonotonicNow() + seconds(20); }

class FunctionHandler : public RequestHandler {
 public:
  explicit FunctionHandler(std::function<void(ServerConnection*)> function)
      : function_(std::move(function)) {}
  void Handle(ServerConnection* connection) override { function_(connection); }

 private:
  std::function<void(ServerConnection*)> function_;
};

struct TestServer {
  explicit TestServer(std::function<void(ServerConnection*)> function,
                      std::size_t max_connections = 1024, MessageLimits limits = MessageLimits())
      : handler(std::move(function)), server(OptionsOf(max_connections, limits), &handler) {
    REQUIRE(server.Start().ok());
  }
  static HttpServer::Options OptionsOf(std::size_t max_connections, const MessageLimits& limits) {
    HttpServer::Options options;
    options.address = RandomLoopback();
    options.max_connections = max_connections;
    options.limits = limits;
    return options;
  }
  std::unique_ptr<ClientConnection> Connect() const {
    auto connection = ClientConnection::Open(server.address(), TestDeadline());
    REQUIRE(connection.ok());
    return std::move(*connection);
  }
  FunctionHandler handler;
  HttpServer server;
};

RequestHead Request(const std::string& method, const std::string& target) {
  RequestHead head;
  head.method = method;
  head.target = target;
  head.fields.Add("Host", "test");
  return head;
}

std::string ReadAll(ClientConnection* connection) {
  std::string all;
  while (true) {
    const auto piece = connection->ReadBody(TestDeadline());
    REQUIRE(piece.ok());
    if (piece->empty()) {
      return all;
    }
    all.append(*piece);
  }
}

// Sends raw bytes and returns everything received until the server closes the connection.
std::string Exchange(const SocketAddress& address, const std::string& bytes) {
  auto socket = SocketStream::Connect(address, TestDeadline());
  REQUIRE(socket.ok());
  REQUIRE((*socket)->Write(bytes, TestDeadline(), seconds(10)).ok());
  std::string all;
  char buffer[4096];
  while ((*socket)->WaitReadable(TestDeadline()).ok()) {
    const auto count = (*socket)->Read(buffer, sizeof buffer);
    if (!count.ok() || (count->has_value() && **count == 0)) {
      break;
    }
    all.append(buffer, count->value_or(0));
  }
  return all;
}

void Echo(ServerConnection* connection) {
  ResponseHead head;
  head.body.kind = BodyKind::kChunked;
  bool begun = false;
  while (true) {
    const auto piece = connection->ReadBody(TestDeadline());
    if (!piece.ok()) {
      return;
    }
    if (piece->empty()) {
      break;
    }
    if (!begun) {
      connection->Begin(head);
      begun = true;
    }
    if (!connection->WriteBody(*piece, TestDeadline()).ok()) {
      return;
    }
  }
  if (!begun) {
    connection->Begin(head);
  }
  connection->End("", TestDeadline()).IgnoreError();
}

// Guards against bodies that are altered while both directions transfer at the same time.
TEST_CASE("bodies pass unchanged both ways at the same time") {
  TestServer server(&Echo);
  for (const std::size_t size : {0, 1, 1000, 70'000, 300'000}) {
    const auto connection = server.Connect();
    std::string body;
    for (std::size_t i = 0; i < size; ++i) {
      body += static_cast<char>('a' + (i * 7) % 26);
    }
    auto head = Request("POST", "/echo");
    head.body = {BodyKind::kChunked, 0};
    connection->Begin(head);
    std::thread writer([&] { CHECK(connection->End(body, TestDeadline()).ok()); });
    const auto response = connection->ReadHead(TestDeadline());
    REQUIRE(response.ok());
    CHECK((*response)->status == 200);
    CHECK(ReadAll(connection.get()) == body);
    writer.join();
  }
}

// Guards against lost or reordered responses to pipelined requests.
TEST_CASE("responses to pipelined requests arrive in the order of the requests") {
  TestServer server([](ServerConnection* connection) {
    connection->Respond(ResponseHead(), connection->request()->target).IgnoreError();
  });
  const auto all = Exchange(server.server.address(),
                            "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const auto first = all.find("/1");
  const auto second = all.find("/2");
  const auto third = all.find("/3");
  CHECK(first < second);
  CHECK(second < third);
  CHECK(third != std::string::npos);
}

// Guards against a wrong status for a malformed request.
TEST_CASE("malformed requests are rejected with 400, 431 or 501 and the connection closes") {
  TestServer server(&Echo);
  const auto address = server.server.address();
  CHECK(Exchange(address, "GET /\r\n\r\n").substr(0, 12) == "HTTP/1.1 400");
  CHECK(Exchange(address, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n")
            .substr(0, 12) == "HTTP/1.1 501");
  CHECK(Exchange(address, "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x')).substr(0, 12) ==
        "HTTP/1.1 431");
}

// Guards against a slow sender that occupies a connection indefinitely.
TEST_CASE("a head that does not arrive in time is rejected with 408") {
  MessageLimits limits;
  limits.head_timeout = std::chrono::milliseconds(100);
  TestServer server(&Echo, 1024, limits);
  CHECK(Exchange(server.server.address(), "GET / HT").substr(0, 12) == "HTTP/1.1 408");
}

// Guards against a response to HEAD whose Content-Length makes the caller wait for a body.
TEST_CASE("a response to HEAD has a Content-Length but no body") {
  TestServer server([](ServerConnection* connection) {
    connection->Respond(ResponseHead(), "12345").IgnoreError();
  });
  const auto connection = server.Connect();
  REQUIRE(connection->Send(Request("HEAD", "/"), "", TestDeadline()).ok());
  const auto head = connection->ReadHead(TestDeadline());
  REQUIRE(head.ok());
  CHECK((*head)->fields.Get("Content-Length") == "5");
  CHECK(ReadAll(connection.get()).empty());
  CHECK(connection->IsReusable());
}

// Guards against a server that fails on "Expect: 100-continue", so that the caller waits
// indefinitely.
TEST_CASE("a request of a caller that expects 100 Continue is served") {
  TestServer server(&Echo);
  const auto connection = server.Connect();
  auto head = Request("POST", "/echo");
  head.fields.Add("Expect", "100-continue");
  head.body = {BodyKind::kLength, 5};
  connection->Begin(head);
  // The body is sent without waiting for 100 Continue; ReadHead skips the interim response.
  REQUIRE(connection->End("hello", TestDeadline()).ok());
  REQUIRE(connection->ReadHead(TestDeadline()).ok());
  CHECK(ReadAll(connection.get()) == "hello");
}

// Guards against a caller that takes a truncated response for a complete one.
TEST_CASE("a response that the handler leaves incomplete ends with a connection reset") {
  TestServer server([](ServerConnection* connection) {
    ResponseHead head;
    head.body = {BodyKind::kLength, 100};
    connection->Begin(head);
    connection->WriteBody("short", TestDeadline()).IgnoreError();
  });
  const auto connection = server.Connect();
  REQUIRE(connection->Send(Request("GET", "/"), "", TestDeadline()).ok());
  absl::Status status = connection->ReadHead(TestDeadline()).status();
  while (status.ok()) {
    const auto piece = connection->ReadBody(TestDeadline());
    status = piece.status();
    REQUIRE_FALSE((piece.ok() && piece->empty()));
  }
  CHECK(absl::IsUnavailable(status));
}

// Guards against an unbounded number of threads, and against a connection above the limit that gets
// no response while all others are being served.
TEST_CASE("connections above the limit receive a 503 response") {
  std::promise<void> responses_released;
  const auto released = responses_released.get_future().share();
  std::atomic<int> arrived{0};
  TestServer server(
      [&](ServerConnection* connection) {
        ++arrived;
        released.wait();
        connection->Respond(ResponseHead(), "whole").IgnoreError();
      },
      2);
  const auto first = server.Connect();
  const auto second = server.Connect();
  for (auto* connection : {first.get(), second.get()}) {
    REQUIRE(connection->Send(Request("GET", "/"), "", TestDeadline()).ok());
  }
  const auto deadline = TestDeadline();
  while (arrived < 2 && MonotonicNow() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  REQUIRE(arrived == 2);
  CHECK(Exchange(server.server.address(), "").substr(0, 12) == "HTTP/1.1 503");
  responses_released.set_value();
  for (auto* connection : {first.get(), second.get()}) {
    REQUIRE(connection->ReadHead(TestDeadline()).ok());
    CHECK(ReadAll(connection) == "whole");
  }
}

// Guards against idle or stalled connections that keep new callers out.
TEST_CASE("the connection that is idle longest is closed when a new one finds no room") {
  TestServer server(&Echo, 2);
  const auto first = server.Connect();
  const auto second = server.Connect();
  for (auto* connection : {first.get(), second.get()}) {
    REQUIRE(connection->Send(Request("GET", "/"), "", TestDeadline()).ok());
    REQUIRE(connection->ReadHead(TestDeadline()).ok());
    ReadAll(connection);
  }
  const auto third = server.Connect();
  REQUIRE(third->Send(Request("GET", "/"), "", TestDeadline()).ok());
  CHECK(third->ReadHead(TestDeadline()).ok());
  CHECK(first->socket()->WaitReadable(TestDeadline()).ok());
  CHECK_FALSE(first->IsOpen());
  CHECK(second->IsOpen());
}

// Guards against a stop that truncates a response in flight or waits for idle connections.
TEST_CASE("[graceful-stop] a stopping server finishes responses and closes idle connections",
          "[graceful-stop]") {
  std::promise<void> request_arrived;
  std::promise<void> response_released;
  TestServer server([&](ServerConnection* connection) {
    if (connection->request()->target == "/slow") {
      request_arrived.set_value();
      response_released.get_future().wait();
    }
    connection->Respond(ResponseHead(), "whole").IgnoreError();
  });
  const auto idle_connection = server.Connect();
  REQUIRE(idle_connection->Send(Request("GET", "/quick"), "", TestDeadline()).ok());
  REQUIRE(idle_connection->ReadHead(TestDeadline()).ok());
  CHECK(ReadAll(idle_connection.get()) == "whole");
  const auto busy_connection = server.Connect();
  REQUIRE(busy_connection->Send(Request("GET", "/slow"), "", TestDeadline()).ok());
  request_arrived.get_future().wait();
  server.server.StopAccepting();
  CHECK(idle_connection->socket()->WaitReadable(TestDeadline()).ok());
  CHECK_FALSE(idle_connection->IsOpen());
  CHECK_FALSE(ClientConnection::Open(server.server.address(), TestDeadline()).ok());
  response_released.set_value();
  const auto head = busy_connection->ReadHead(TestDeadline());
  REQUIRE(head.ok());
  CHECK_FALSE((*head)->keep_alive);
  CHECK(ReadAll(busy_connection.get()) == "whole");
  server.server.WaitUntilIdle();
}

// Guards against waiting for an upstream after the caller has closed its connection.
TEST_CASE("a wait is cancelled when the watched caller closes its connection") {
  TestServer server([](ServerConnection* connection) {
    connection->socket()->WaitReadable(TestDeadline()).IgnoreError();
  });
  const auto upstream = server.Connect();
  const auto watched = server.Connect();
  REQUIRE(upstream->Send(Request("GET", "/"), "", TestDeadline()).ok());
  upstream->socket()->set_watched_descriptor(watched->socket()->descriptor());
  // The server responds with 400 and closes the watched connection.
  REQUIRE(watched->socket()->Write("BAD\r\n\r\n", TestDeadline(), seconds(1)).ok());
  const auto head = upstream->ReadHead(TestDeadline());
  CHECK(absl::IsCancelled(head.status()));
}

}  // namespace
}  // namespace primroseweir
