#include <arpa/inet.h>
#include <sys/socket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "filters/call_fixture.h"
#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {
namespace {

struct TwoUpstreams {
  TwoUpstreams(const std::string& service, const FakeUpstream::Serve& serve,
               bool has_retry_budget = true)
      : first(serve), second(serve) {
    entry.has_retry_budget = has_retry_budget;
    entry.AddUpstream(service, first.address());
    entry.AddUpstream(service, second.address());
    entry.Start();
  }
  int requests() const { return first.requests + second.requests; }
  FakeUpstream first;
  FakeUpstream second;
  CallFixture entry;
};

// Guards against a second execution of a non-idempotent call after its connection was reset.
TEST_CASE("[at-most-once] a non-idempotent call is not sent again after a connection reset",
          "[at-most-once]") {
  TwoUpstreams test("ledger", &ReadAndReset);
  const auto reply = test.entry.Send(CallFixture::Request("POST", "/ledger/x", "b"), "b");
  CHECK(reply.outcome() == "unknown");
  CHECK(test.requests() == 1);
}

// Guards against a second execution after a 503 that does not state "not-run" in X-Refused.
TEST_CASE("[at-most-once] a non-idempotent call is not sent again after a 503 without X-Refused",
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

// Returns the caller's port of a connection, which identifies it while the test runs.
std::uint16_t PeerPort(ServerConnection* connection) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  REQUIRE(getpeername(connection->socket()->descriptor(), reinterpret_cast<sockaddr*>(&address),
                      &size) == 0);
  return ntohs(address.sin_port);
}

// Guards against a refusal that an upstream sends once more on a kept connection, before the
// response to the next call: it was taken for the response to that call, which was then executed
// again.
TEST_CASE("[at-most-once] a repeated refusal does not refuse the next call", "[at-most-once]") {
  std::mutex mutex;
  std::set<std::uint16_t> refused_connections;
  std::atomic<int> executions{0};
  TwoUpstreams test("ledger", [&](ServerConnection* connection) {
    ReadRequestBody(connection);
    const bool is_refused = connection->request()->target == "/refused";
    const std::lock_guard<std::mutex> lock(mutex);
    const bool sends_copy = refused_connections.count(PeerPort(connection)) != 0;
    if (is_refused || sends_copy) {
      refused_connections.insert(PeerPort(connection));
      ResponseHead head;
      head.status = 503;
      head.fields.Add("X-Refused", "not-run");
      connection->Respond(head, "").IgnoreError();
    }
    if (!is_refused) {
      ++executions;
      connection->Respond(ResponseHead(), "booked").IgnoreError();
    }
  });
  for (int i = 0; i < 5; ++i) {
    CHECK(test.entry.Send(CallFixture::Request("POST", "/ledger/refused", "b"), "b").outcome() ==
          "not-run");
    executions = 0;
    const auto reply = test.entry.Send(CallFixture::Request("POST", "/ledger/x", "b"), "b");
    CHECK(reply.body == "booked");
    CHECK(executions == 1);
  }
}

// Guards against a call key that is ignored for a service whose calls are idempotent.
TEST_CASE("[at-most-once] a call with a call key is not sent again after a connection reset",
          "[at-most-once]") {
  TwoUpstreams test("board", &ReadAndReset);
  auto head = CallFixture::Request("POST", "/board/x", "b");
  head.fields.Add("Primroseweir-Call-Key", "any");
  CHECK(test.entry.Send(head, "b").outcome() == "unknown");
  CHECK(test.requests() == 1);
}

// Guards against the loss of a call on a pooled connection that became unresponsive while idle.
TEST_CASE("[at-most-once] non-idempotent calls use a recently used or a new connection",
          "[at-most-once]") {
  std::mutex mutex;
  std::set<ServerConnection*> used_connections;
  FakeUpstream upstream([&](ServerConnection* connection) {
    bool is_reused = false;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      is_reused = !used_connections.insert(connection).second;
    }
    if (is_reused) {
      // Simulates an unresponsive connection: the request gets no response.
      connection->socket()->WaitReadable(TestDeadline()).IgnoreError();
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

// Guards against retries that multiply load by executing one call more than twice.
TEST_CASE("an idempotent call is executed at most twice") {
  TwoUpstreams test("board", &ReadAndReset);
  CHECK(test.entry.Send(CallFixture::Request("POST", "/board/x", "b"), "b").outcome() == "unknown");
  CHECK(test.requests() == 2);
}

// Guards against retries by inner hops, which multiply with the nesting depth.
TEST_CASE("a nested call is not retried") {
  TwoUpstreams test("board", &ReadAndReset);
  auto head = CallFixture::Request("GET", "/board/x");
  head.fields.Add("Primroseweir-Depth", "1");
  CHECK(test.entry.Send(head).outcome() == "unknown");
  CHECK(test.requests() == 1);
}

// Guards against retries that exceed the retry budget.
TEST_CASE("a call is not retried when the retry budget is empty") {
  TwoUpstreams test("board", &ReadAndReset, false);
  CHECK(test.entry.Send(CallFixture::Request("GET", "/board/x")).outcome() == "unknown");
  CHECK(test.requests() == 1);
}

// Guards against a slow read that is not hedged, or whose losing attempt is not cancelled.
TEST_CASE("a slow read is hedged at another upstream and the loser cancelled") {
  std::atomic<int> stalled_requests{0};
  std::atomic<bool> should_stall{false};
  std::atomic<int> cancelled{0};
  TwoUpstreams test("board", [&](ServerConnection* connection) {
    if (should_stall && stalled_requests.fetch_add(1) == 0) {
      connection->socket()->WaitReadable(TestDeadline()).IgnoreError();
      cancelled += connection->HasPeerClosed() ? 1 : 0;
      return;
    }
    RespondWithText("quick")(connection);
  });
  for (int i = 0; i < 200; ++i) {
    REQUIRE(test.entry.Send(CallFixture::Request("GET", "/board/x")).body == "quick");
  }
  const int requests_before = test.requests();
  should_stall = true;
  CHECK(test.entry.Send(CallFixture::Request("GET", "/board/x")).body == "quick");
  CHECK(test.requests() == requests_before + 2);
  test.entry.Stop();
  for (auto* upstream : {&test.first, &test.second}) {
    upstream->server()->StopAccepting();
    upstream->server()->WaitUntilIdle();
  }
  CHECK(cancelled == 1);
}

// Serves reads at once, except those of "/slow", which get no response up to the count
// `max_stalled`.
class SlowReads {
 public:
  explicit SlowReads(int max_stalled)
      : upstreams("board", [this, max_stalled](ServerConnection* connection) {
          if (connection->request()->target == "/slow" &&
              slow_requests.fetch_add(1) < max_stalled) {
            connection->socket()->WaitReadable(TestDeadline()).IgnoreError();
            return;
          }
          RespondWithText("quick")(connection);
        }) {
    // Enough responses for a hedge delay.
    for (int i = 0; i < 200; ++i) {
      REQUIRE(upstreams.entry.Send(CallFixture::Request("GET", "/board/x")).body == "quick");
    }
    upstreams.entry.FillRetryBudgets();
  }

  std::atomic<int> slow_requests{0};
  TwoUpstreams upstreams;
};

// Guards against a slow read that waits for its deadline because the other upstream had no room at
// the moment when the hedge was due: a window that was reset is not used for 400 ms.
TEST_CASE("a hedge is sent later if no other upstream has room when it is due") {
  SlowReads test(1);
  const auto& entry = test.upstreams.entry;
  const auto state = test.upstreams.entry.router()->Upstreams().front();
  const auto give_up_at = TestDeadline();
  while (state->window().epoch_window().window == 1 || !state->window().Reset(MonotonicNow())) {
    REQUIRE(MonotonicNow() < give_up_at);
    REQUIRE(entry.Send(CallFixture::Request("GET", "/board/x")).body == "quick");
  }
  CHECK(entry.Send(CallFixture::Request("GET", "/board/slow")).body == "quick");
  CHECK(test.slow_requests == 2);
}

// Guards against hedges that take the slots of other instances: a hedge of every instance at the
// same slow moment would overload the upstreams that are not slow.
TEST_CASE("a hedge only takes a slot that this instance owns") {
  SlowReads test(2);
  for (const auto& state : test.upstreams.entry.router()->Upstreams()) {
    state->SetOwnedSlots(0);
  }
  auto head = CallFixture::Request("GET", "/board/slow");
  head.fields.Add("Primroseweir-Deadline-Ms", "500");
  test.upstreams.entry.Send(head);
  CHECK(test.slow_requests == 1);
}

// Guards against a caller that occupies a slot by stalling within a large body, and against a
// second execution of an upload that partly reached an upstream.
TEST_CASE("[at-most-once] an upload whose caller stalls times out and is not sent again",
          "[at-most-once]") {
  std::atomic<int> uploads_begun{0};
  const auto receive_upload = [&uploads_begun](ServerConnection* connection) {
    ++uploads_begun;
    auto piece = connection->ReadBody(TestDeadline());
    while (piece.ok() && !piece->empty()) {
      piece = connection->ReadBody(TestDeadline());
    }
    if (piece.ok()) {
      connection->Respond(ResponseHead(), "stored").IgnoreError();
    }
  };
  FakeUpstream first(receive_upload);
  FakeUpstream second(receive_upload);
  CallFixture entry;
  entry.AddUpstream("footage", first.address());
  entry.AddUpstream("footage", second.address());
  entry.Start();
  auto head = CallFixture::Request("POST", "/footage/hull");
  head.body = {BodyKind::kLength, 200'000};
  const auto connection = entry.Connect();
  connection->Begin(head);
  const auto start = MonotonicNow();
  REQUIRE(connection->WriteBody(std::string(150'000, 'x'), TestDeadline()).ok());
  const auto response = connection->ReadHead(MonotonicNow() + std::chrono::seconds(8));
  REQUIRE(response.ok());
  CHECK((*response)->status >= 500);
  CHECK((*response)->fields.Get("Primroseweir-Outcome") == "unknown");
  CHECK(MonotonicNow() - start < RouteFilter::kUploadIdleTimeout + std::chrono::seconds(3));
  CHECK(uploads_begun == 1);
}

}  // namespace
}  // namespace primroseweir
