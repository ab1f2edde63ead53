#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "filters/call_fixture.h"

namespace primroseweir {
namespace {

// Guards against answers that are changed on their way or lack the system's fields.
TEST_CASE("a call is passed to an upstream and its answer back") {
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

// Guards against "not run" answers that a program can't read.
TEST_CASE("[not-run] a call without an upstream is answered as not run", "[not-run]") {
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

// Guards against "not run" for a call that an upstream received.
TEST_CASE("[not-run] a call that is lost after it was sent is unknown", "[not-run]") {
  FakeUpstream upstream(&Break);
  CallFixture entry;
  entry.AddUpstream("ledger", upstream.address());
  entry.Start();
  const auto reply = entry.Send(CallFixture::Request("POST", "/ledger/x", "b"), "b");
  CHECK(reply.head.status == 502);
  CHECK(reply.outcome() == "unknown");
  CHECK(upstream.requests == 1);
}

// Guards against "unknown" for a call that every upstream refused, and against answers that say
// "ran" for it.
TEST_CASE("[not-run] refusals by every upstream mean not run", "[not-run]") {
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

// Guards against "not run" after one of several upstreams lost the call.
TEST_CASE("[not-run] one lost attempt makes the outcome unknown", "[not-run]") {
  FakeUpstream first(&Break);
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

// Guards against a deadline that passes with the wrong outcome, or is not kept.
TEST_CASE("[not-run] a deadline after sending is unknown", "[not-run]") {
  FakeUpstream upstream([](ServerConnection* connection) {
    connection->socket()->WaitReadable(Soon()).IgnoreError();
  });
  CallFixture entry;
  entry.AddUpstream("ledger", upstream.address());
  entry.Start();
  auto head = CallFixture::Request("POST", "/ledger/x");
  head.fields.Add("Primroseweir-Deadline-Ms", "100");
  const auto reply = entry.Send(head);
  CHECK(reply.head.status == 504);
  CHECK(reply.outcome() == "unknown");
  auto late = CallFixture::Request("POST", "/ledger/x");
  late.fields.Add("Primroseweir-Deadline-Ms", "0");
  CHECK(entry.Send(late).outcome() == "not-run");
}

// Guards against an upstream that keeps working for a caller that has gone away.
TEST_CASE("a caller that closes cancels the call at the upstream") {
  std::atomic<bool> cancelled{false};
  std::atomic<bool> received{false};
  FakeUpstream upstream([&](ServerConnection* connection) {
    received = true;
    cancelled = connection->socket()->WaitReadable(Soon()).ok() && connection->PeerClosed();
  });
  CallFixture entry;
  entry.AddUpstream("board", upstream.address());
  entry.Start();
  {
    const auto connection = entry.Connect();
    REQUIRE(connection->Send(CallFixture::Request("GET", "/board/x"), "", Soon()).ok());
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
