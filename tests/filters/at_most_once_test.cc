#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "filters/call_fixture.h"

namespace primroseweir {
namespace {

struct TwoUpstreams {
  TwoUpstreams(const std::string& service, const FakeUpstream::Serve& serve, bool retries = true)
      : first(serve), second(serve) {
    entry.retries_allowed = retries;
    entry.AddUpstream(service, first.address());
    entry.AddUpstream(service, second.address());
    entry.Start();
  }
  int requests() const { return first.requests + second.requests; }
  FakeUpstream first;
  FakeUpstream second;
  CallFixture entry;
};

// Guards against a second execution of a call that must not be repeated, after its connection was
// lost.
TEST_CASE("[at-most-once] a lost call is not sent again", "[at-most-once]") {
  TwoUpstreams test("ledger", &Break);
  const auto reply = test.entry.Send(CallFixture::Request("POST", "/ledger/x", "b"), "b");
  CHECK(reply.outcome() == "unknown");
  CHECK(test.requests() == 1);
}

// Guards against a second execution after a 503 that does not say "not run".
TEST_CASE("[at-most-once] a call that was shed without a word is not sent again",
          "[at-most-once]") {
  TwoUpstreams test("ledger", [](ServerConnection* connection) {
    ReadRequestBody(connection);
    ResponseHead head;
    head.status = 503;
    connection->Respond(head, "busy").IgnoreError();
  });
  const auto reply = test.entry.Send(CallFixture::Request("POST", "/ledger/x", "b"), "b");
  CHECK(reply.head.status == 503);
  CHECK(reply.outcome() == "ran");
  CHECK(test.requests() == 1);
}

// Guards against a call key that loses its effect on a service whose calls are repeatable.
TEST_CASE("[at-most-once] a call with a call key is not sent again", "[at-most-once]") {
  TwoUpstreams test("board", &Break);
  auto head = CallFixture::Request("POST", "/board/x", "b");
  head.fields.Add("Primroseweir-Call-Key", "any");
  CHECK(test.entry.Send(head, "b").outcome() == "unknown");
  CHECK(test.requests() == 1);
}

// Guards against a call that is lost on a pooled connection which went silent while it was idle.
TEST_CASE("[at-most-once] calls that must not be repeated use a proven or new connection",
          "[at-most-once]") {
  std::mutex mutex;
  std::set<ServerConnection*> seen;
  FakeUpstream upstream([&](ServerConnection* connection) {
    bool again = false;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      again = !seen.insert(connection).second;
    }
    if (again) {
      // The connection is silent: the request arrives nowhere.
      connection->socket()->WaitReadable(Soon()).IgnoreError();
      return;
    }
    RespondWithText("done")(connection);
  });
  CallFixture entry;
  entry.AddUpstream("ledger", upstream.address());
  entry.Start();
  CHECK(entry.Send(CallFixture::Request("POST", "/ledger/1")).body == "done");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  auto head = CallFixture::Request("POST", "/ledger/2");
  head.fields.Add("Primroseweir-Deadline-Ms", "2000");
  CHECK(entry.Send(head).body == "done");
}

// Guards against retries that multiply load: more than two executions of one call.
TEST_CASE("a repeatable call is executed at most twice") {
  TwoUpstreams test("board", &Break);
  CHECK(test.entry.Send(CallFixture::Request("POST", "/board/x", "b"), "b").outcome() == "unknown");
  CHECK(test.requests() == 2);
}

// Guards against retries by inner hops, which multiply with the depth.
TEST_CASE("a nested call is not retried") {
  TwoUpstreams test("board", &Break);
  auto head = CallFixture::Request("GET", "/board/x");
  head.fields.Add("Primroseweir-Depth", "1");
  CHECK(test.entry.Send(head).outcome() == "unknown");
  CHECK(test.requests() == 1);
}

// Guards against retries beyond the budget.
TEST_CASE("a call is not retried without budget") {
  TwoUpstreams test("board", &Break, false);
  CHECK(test.entry.Send(CallFixture::Request("GET", "/board/x")).outcome() == "unknown");
  CHECK(test.requests() == 1);
}

// Guards against a hedge for a call that must not be repeated, and against none where it helps.
TEST_CASE("a slow read is hedged at another upstream and the loser cancelled") {
  std::atomic<int> slow{0};
  std::atomic<bool> stalls{false};
  std::atomic<int> cancelled{0};
  TwoUpstreams test("board", [&](ServerConnection* connection) {
    if (stalls && slow.fetch_add(1) == 0) {
      connection->socket()->WaitReadable(Soon()).IgnoreError();
      cancelled += connection->PeerClosed() ? 1 : 0;
      return;
    }
    RespondWithText("quick")(connection);
  });
  for (int i = 0; i < 200; ++i) {
    REQUIRE(test.entry.Send(CallFixture::Request("GET", "/board/x")).body == "quick");
  }
  const int before = test.requests();
  stalls = true;
  CHECK(test.entry.Send(CallFixture::Request("GET", "/board/x")).body == "quick");
  CHECK(test.requests() == before + 2);
  test.entry.Stop();
  for (auto* upstream : {&test.first, &test.second}) {
    upstream->server()->StopAccepting();
    upstream->server()->WaitUntilIdle();
  }
  CHECK(cancelled == 1);
}

// Guards against a slot that a caller holds by stalling in a large body, and against a second run
// of an upload of which a part reached an upstream.
TEST_CASE("[at-most-once] an upload whose caller stalls ends and is not sent again",
          "[at-most-once]") {
  std::atomic<int> begun{0};
  const auto read = [&begun](ServerConnection* connection) {
    ++begun;
    auto piece = connection->ReadBody(Soon());
    while (piece.ok() && !piece->empty()) {
      piece = connection->ReadBody(Soon());
    }
    if (piece.ok()) {
      connection->Respond(ResponseHead(), "stored").IgnoreError();
    }
  };
  FakeUpstream first(read);
  FakeUpstream second(read);
  CallFixture entry;
  entry.AddUpstream("footage", first.address());
  entry.AddUpstream("footage", second.address());
  entry.Start();
  auto head = CallFixture::Request("POST", "/footage/hull");
  head.body = {BodyKind::kLength, 200'000};
  const auto connection = entry.Connect();
  connection->Begin(head);
  const auto start = MonotonicNow();
  REQUIRE(connection->WriteBody(std::string(150'000, 'x'), Soon()).ok());
  const auto response = connection->ReadHead(MonotonicNow() + std::chrono::seconds(8));
  REQUIRE(response.ok());
  CHECK((*response)->status >= 500);
  CHECK((*response)->fields.Get("Primroseweir-Outcome") == "unknown");
  CHECK(MonotonicNow() - start < RouteFilter::kUploadIdleTimeout + std::chrono::seconds(3));
  CHECK(begun == 1);
}

}  // namespace
}  // namespace primroseweir
