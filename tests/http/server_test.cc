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

Instant Soon() { return MonotonicNow() + seconds(20); }

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
    auto connection = ClientConnection::Open(server.address(), Soon());
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
    const auto piece = connection->ReadBody(Soon());
    REQUIRE(piece.ok());
    if (piece->empty()) {
      return all;
    }
    all.append(*piece);
  }
}

// Sends raw bytes and answers everything that comes back until the server closes.
std::string Exchange(const SocketAddress& address, const std::string& bytes) {
  auto socket = SocketStream::Connect(address, Soon());
  REQUIRE(socket.ok());
  REQUIRE((*socket)->Write(bytes, Soon(), seconds(10)).ok());
  std::string all;
  char buffer[4096];
  while ((*socket)->WaitReadable(Soon()).ok()) {
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
    const auto piece = connection->ReadBody(Soon());
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
    if (!connection->WriteBody(*piece, Soon()).ok()) {
      return;
    }
  }
  if (!begun) {
    connection->Begin(head);
  }
  connection->End("", Soon()).IgnoreError();
}

// Guards against bodies that change on their way in either direction.
TEST_CASE("bodies pass both ways at once") {
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
    std::thread writer([&] { CHECK(connection->End(body, Soon()).ok()); });
    const auto response = connection->ReadHead(Soon());
    REQUIRE(response.ok());
    CHECK((*response)->status == 200);
    CHECK(ReadAll(connection.get()) == body);
    writer.join();
  }
}

// Guards against pipelined requests whose answers are lost or mixed up.
TEST_CASE("pipelined requests are answered in order") {
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

// Guards against the wrong status for requests that break the rules.
TEST_CASE("faults of requests are answered and end the connection") {
  TestServer server(&Echo);
  const auto address = server.server.address();
  CHECK(Exchange(address, "GET /\r\n\r\n").substr(0, 12) == "HTTP/1.1 400");
  CHECK(Exchange(address, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n")
            .substr(0, 12) == "HTTP/1.1 501");
  CHECK(Exchange(address, "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x')).substr(0, 12) ==
        "HTTP/1.1 431");
}

// Guards against a slow sender that holds a connection for ever.
TEST_CASE("a head that does not arrive in time is answered with 408") {
  MessageLimits limits;
  limits.head_timeout = std::chrono::milliseconds(100);
  TestServer server(&Echo, 1024, limits);
  CHECK(Exchange(server.server.address(), "GET / HT").substr(0, 12) == "HTTP/1.1 408");
}

// Guards against HEAD answers whose announced length makes the caller wait for a body.
TEST_CASE("HEAD answers carry no body") {
  TestServer server([](ServerConnection* connection) {
    connection->Respond(ResponseHead(), "12345").IgnoreError();
  });
  const auto connection = server.Connect();
  REQUIRE(connection->Send(Request("HEAD", "/"), "", Soon()).ok());
  const auto head = connection->ReadHead(Soon());
  REQUIRE(head.ok());
  CHECK((*head)->fields.Get("Content-Length") == "5");
  CHECK(ReadAll(connection.get()).empty());
  CHECK(connection->IsReusable());
}

// Guards against callers that wait for "100 Continue" for ever.
TEST_CASE("a caller that expects 100 Continue is asked to send") {
  TestServer server(&Echo);
  const auto connection = server.Connect();
  auto head = Request("POST", "/echo");
  head.fields.Add("Expect", "100-continue");
  head.body = {BodyKind::kLength, 5};
  connection->Begin(head);
  // The interim answer is skipped by ReadHead, so the body may follow at once.
  REQUIRE(connection->End("hello", Soon()).ok());
  REQUIRE(connection->ReadHead(Soon()).ok());
  CHECK(ReadAll(connection.get()) == "hello");
}

// Guards against a cut answer that a caller takes for a whole one.
TEST_CASE("an answer that its handler does not finish is reset") {
  TestServer server([](ServerConnection* connection) {
    ResponseHead head;
    head.body = {BodyKind::kLength, 100};
    connection->Begin(head);
    connection->WriteBody("short", Soon()).IgnoreError();
  });
  const auto connection = server.Connect();
  REQUIRE(connection->Send(Request("GET", "/"), "", Soon()).ok());
  absl::Status status = connection->ReadHead(Soon()).status();
  while (status.ok()) {
    const auto piece = connection->ReadBody(Soon());
    status = piece.status();
    REQUIRE_FALSE((piece.ok() && piece->empty()));
  }
  CHECK(absl::IsUnavailable(status));
}

// Guards against unbounded threads, and against connections above the limit without an answer.
TEST_CASE("connections above the limit are answered with 503") {
  TestServer server(&Echo, 2);
  const auto first = server.Connect();
  const auto second = server.Connect();
  for (auto* connection : {first.get(), second.get()}) {
    REQUIRE(connection->Send(Request("GET", "/"), "", Soon()).ok());
    REQUIRE(connection->ReadHead(Soon()).ok());
  }
  CHECK(Exchange(server.server.address(), "").substr(0, 12) == "HTTP/1.1 503");
}

// Guards against a stop that cuts the answer of a request in flight or waits for idle connections.
TEST_CASE("[graceful-stop] of a server lets the answers in flight finish", "[graceful-stop]") {
  std::promise<void> arrived;
  std::promise<void> released;
  TestServer server([&](ServerConnection* connection) {
    if (connection->request()->target == "/slow") {
      arrived.set_value();
      released.get_future().wait();
    }
    connection->Respond(ResponseHead(), "whole").IgnoreError();
  });
  const auto idle_timeout = server.Connect();
  REQUIRE(idle_timeout->Send(Request("GET", "/quick"), "", Soon()).ok());
  REQUIRE(idle_timeout->ReadHead(Soon()).ok());
  CHECK(ReadAll(idle_timeout.get()) == "whole");
  const auto busy = server.Connect();
  REQUIRE(busy->Send(Request("GET", "/slow"), "", Soon()).ok());
  arrived.get_future().wait();
  server.server.StopAccepting();
  CHECK(idle_timeout->socket()->WaitReadable(Soon()).ok());
  CHECK_FALSE(idle_timeout->StillOpen());
  CHECK_FALSE(ClientConnection::Open(server.server.address(), Soon()).ok());
  released.set_value();
  const auto head = busy->ReadHead(Soon());
  REQUIRE(head.ok());
  CHECK_FALSE((*head)->keep_alive);
  CHECK(ReadAll(busy.get()) == "whole");
  server.server.WaitUntilIdle();
}

// Guards against waiting for an upstream whose caller has gone away.
TEST_CASE("a wait ends when the watched caller closes") {
  TestServer server([](ServerConnection* connection) {
    connection->socket()->WaitReadable(Soon()).IgnoreError();
  });
  const auto upstream = server.Connect();
  const auto watched = server.Connect();
  REQUIRE(upstream->Send(Request("GET", "/"), "", Soon()).ok());
  upstream->socket()->set_watched(watched->socket()->descriptor());
  // The server closes the watched connection after its answer 400.
  REQUIRE(watched->socket()->Write("BAD\r\n\r\n", Soon(), seconds(1)).ok());
  const auto head = upstream->ReadHead(Soon());
  CHECK(absl::IsCancelled(head.status()));
}

}  // namespace
}  // namespace primroseweir
