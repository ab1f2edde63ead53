#include "primroseweir/http/waiting_connections.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace primroseweir {
namespace {

using std::chrono::seconds;

const Instant kStart = Instant() + std::chrono::hours(1);

struct Fixture {
  WaitingConnections::Id Add() {
    const int index = static_cast<int>(closed.size());
    closed.push_back(false);
    return connections.Add([this, index] { closed[static_cast<std::size_t>(index)] = true; });
  }

  WaitingConnections connections;
  std::vector<bool> closed;
};

// Guards against a crowd of idle connections that keeps new ones out, and against closing the
// caller that was active last.
TEST_CASE("the connection whose caller has taken longest is closed first", "[http]") {
  Fixture fixture;
  const auto first = fixture.Add();
  const auto second = fixture.Add();
  fixture.connections.StartWaiting(first, kStart + seconds(2));
  fixture.connections.StartWaiting(second, kStart + seconds(1));
  CHECK(fixture.connections.CloseLongestWaiting());
  CHECK(fixture.closed == std::vector<bool>{false, true});
  CHECK(fixture.connections.CloseLongestWaiting());
  CHECK(fixture.closed == std::vector<bool>{true, true});
  CHECK_FALSE(fixture.connections.CloseLongestWaiting());
}

// Guards against a crowd that reconnects all the time, so that the idle connections of ordinary
// callers are always older.
TEST_CASE("connections on which no request was served are closed first", "[http]") {
  Fixture fixture;
  const auto ordinary = fixture.Add();
  const auto silent = fixture.Add();
  fixture.connections.SetServed(ordinary);
  fixture.connections.StartWaiting(ordinary, kStart + seconds(1));
  fixture.connections.StartWaiting(silent, kStart + seconds(2));
  CHECK(fixture.connections.CloseLongestWaiting());
  CHECK(fixture.closed == std::vector<bool>{false, true});
  CHECK(fixture.connections.closed_count() == 1);
  fixture.connections.Remove(silent);
  CHECK(fixture.connections.closed_count() == 0);
}

// Guards against a descriptor that is shut down after its connection closed it, when it may belong
// to another connection.
TEST_CASE("a removed connection is not closed", "[http]") {
  Fixture fixture;
  const auto id = fixture.Add();
  fixture.connections.StartWaiting(id, kStart);
  fixture.connections.Remove(id);
  fixture.connections.StartWaiting(id, kStart);
  CHECK_FALSE(fixture.connections.CloseLongestWaiting());
  CHECK_FALSE(fixture.closed[0]);
}

// Guards against a connection that is closed while its request is served.
TEST_CASE("a connection that serves a request is not closed", "[http][not-run]") {
  Fixture fixture;
  const auto id = fixture.Add();
  fixture.connections.StartWaiting(id, kStart);
  CHECK(fixture.connections.StopWaiting(id));
  CHECK_FALSE(fixture.connections.CloseLongestWaiting());
  CHECK_FALSE(fixture.closed[0]);
}

// Guards against a request that arrives while its connection is being closed and is executed
// although its caller gets no response.
TEST_CASE("a request on a connection that has been closed is not served", "[http][not-run]") {
  Fixture fixture;
  const auto id = fixture.Add();
  fixture.connections.StartWaiting(id, kStart);
  CHECK(fixture.connections.CloseLongestWaiting());
  CHECK_FALSE(fixture.connections.StopWaiting(id));
  fixture.connections.Remove(id);
  CHECK_FALSE(fixture.connections.StopWaiting(id));
  CHECK_FALSE(fixture.connections.CloseLongestWaiting());
}

}  // namespace
}  // namespace primroseweir
