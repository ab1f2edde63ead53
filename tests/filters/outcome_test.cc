#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "filters/call_fixture.h"

namespace primroseweir {
namespace {

// Guards against responses that are altered while being forwarded or lack the Primroseweir fields.
TEST_CASE("a call is forwarded to an upstream and the response to the caller") {
  std::string target;
  std::string depth;
  FakeUpstream upstream([&](ServerConnection* connection) {
    target = connection->request()->target;
    depth = connection->request()->fields.Get("Primroseweir-Depth");
    ResponseHead head;
    head.fields.Add("X-Test", "kept");
    connection->Respond(head, ReadRequestBody(connection)).IgnoreError();
  });
  CallFixture entry;
  entry.AddUpstream("board", upstream.address());
  entry.Start();
  const auto reply = entry.Send(CallFixture::Request("POST", "/board/a/b?c=d", "hello"), "hello");
  REQUIRE(reply.status.ok());
  CHECK(reply.head.status == 200);
  CHECK(reply.body == "hello");
  CHECK(reply.outcome() == "ran");
  CHECK(reply.head.fields.Get("X-Test") == "kept");
  CHECK_FALSE(reply.head.fields.Get("Primroseweir-Request-Id").empty());
  CHECK(target == "/a/b?c=d");
  CHECK(depth == "1");
}

// Guards against "not-run" local replies that a program cannot parse.
TEST_CASE("[not-run] a call for a service without upstreams has outcome not-run", "[not-run]") {
  CallFixture entry;
  entry.Start();
  const auto reply = entry.Send(CallFixture::Request("GET", "/board/x"));
  CHECK(reply.head.status == 503);
  CHECK(reply.outcome() == "not-run");
  const auto body = nlohmann::json::parse(reply.body);
  CHECK(body["outcome"] == "not-run");
  CHECK(body["step"] == "admission");
  CHECK_FALSE(body["reason"].get<std::string>().empty());
  CHECK(entry.Send(CallFixture::Request("GET", "/unknown/x")).outcome() == "not-run");
}

// Guards against outcome "not-run" for a call that an upstream received.
TEST_CASE("[not-run] a call whose connection is lost after sending has outcome unknown",
          "[not-run]") {
  FakeUpstream upstream(&ReadAndReset);
  CallFixture entry;
  entry.AddUpstream("ledger", upstream.address());
  entry.Start();
  const auto reply = entry.Send(CallFixture::Request("POST", "/ledger/x", "b"), "b");
  CHECK(reply.head.status == 502);
  CHECK(reply.outcome() == "unknown");
  CHECK(upstream.requests == 1);
}

// Guards against outcome "unknown" or "ran" for a call that every upstream refused.
TEST_CASE("[not-run] a call that every upstream refuses has outcome not-run", "[not-run]") {
  FakeUpstream first(&Refuse);
  FakeUpstream second(&Refuse);
  CallFixture entry;
  entry.AddUpstream("ledger", first.address());
  entry.AddUpstream("ledger", second.address());
  entry.Start();
  const auto reply = entry.Send(CallFixture::Request("POST", "/ledger/x", "b"), "b");
  CHECK(reply.head.status == 503);
  CHECK(reply.outcome() == "not-run");
  CHECK(first.requests == 1);
  CHECK(second.requests == 1);
}

// Guards against outcome "not-run" after one of several upstreams reset the connection.
TEST_CASE("[not-run] one lost attempt makes the outcome unknown", "[not-run]") {
  FakeUpstream first(&ReadAndReset);
  FakeUpstream second(&Refuse);
  CallFixture entry;
  entry.AddUpstream("board", first.address());
  entry.AddUpstream("board", second.address());
  entry.Start();
  for (int i = 0; i < 4; ++i) {
    const auto reply = entry.Send(CallFixture::Request("GET", "/board/x"));
    CHECK(reply.outcome() == (first.requests > 0 ? "unknown" : "not-run"));
  }
  CHECK(first.requests > 0);
}

// Guards against a deadline that is not enforced, or that passes with the wrong outcome.
TEST_CASE("[not-run] a deadline that passes after sending gives outcome unknown", "[not-run]") {
  FakeUpstream upstream([](ServerConnection* connection) {
    connection->socket()->WaitReadable(TestDeadline()).IgnoreError();
  });
  CallFixture entry;
  entry.AddUpstream("ledger", upstream.address());
  entry.Start();
  auto head = CallFixture::Request("POST", "/ledger/x");
  head.fields.Add("Primroseweir-Deadline-Ms", "100");
  const auto reply = entry.Send(head);
  CHECK(reply.head.status == 504);
  CHECK(reply.outcome() == "unknown");
  auto expired = CallFixture::Request("POST", "/ledger/x");
  expired.fields.Add("Primroseweir-Deadline-Ms", "0");
  CHECK(entry.Send(expired).outcome() == "not-run");
}

// Guards against an upstream that keeps executing a call whose caller has disconnected.
TEST_CASE("a caller that closes its connection cancels the call at the upstream") {
  std::atomic<bool> cancelled{false};
  std::atomic<bool> received{false};
  FakeUpstream upstream([&](ServerConnection* connection) {
    received = true;
    cancelled =
        connection->socket()->WaitReadable(TestDeadline()).ok() && connection->HasPeerClosed();
  });
  CallFixture entry;
  entry.AddUpstream("board", upstream.address());
  entry.Start();
  {
    const auto connection = entry.Connect();
    REQUIRE(connection->Send(CallFixture::Request("GET", "/board/x"), "", TestDeadline()).ok());
    while (!received) {
      std::this_thread::yield();
    }
  }
  entry.Stop();
  upstream.server()->StopAccepting();
  upstream.server()->WaitUntilIdle();
  CHECK(cancelled);
}

}  // namespace
}  // namespace primroseweir
