#include <catch2/catch.hpp>
#include <string>

#include "filters/call_fixture.h"

namespace primroseweir {
namespace {

// Guards against a request that takes down one upstream after another because its caller sends it
// again and again.
TEST_CASE("a request that crashed two upstreams is refused as not run") {
  const auto crash = [](ServerConnection* connection) {
    if (connection->request()->target == "/crash") {
      Break(connection);
    } else {
      RespondWithText("fine")(connection);
    }
  };
  FakeUpstream first(crash);
  FakeUpstream second(crash);
  FakeUpstream third(crash);
  CallFixture entry;
  for (const auto* upstream : {&first, &second, &third}) {
    entry.AddUpstream("board", upstream->address());
  }
  entry.Start();
  const auto lost = entry.Send(CallFixture::Request("GET", "/board/crash"));
  CHECK(lost.outcome() == "unknown");
  const int crashed = first.requests + second.requests + third.requests;
  CHECK(crashed == 2);
  for (int i = 0; i < 5; ++i) {
    const auto refused = entry.Send(CallFixture::Request("GET", "/board/crash"));
    CHECK(refused.outcome() == "not-run");
    CHECK(refused.head.status == 503);
  }
  CHECK(first.requests + second.requests + third.requests == crashed);
  CHECK(entry.Send(CallFixture::Request("GET", "/board/other")).body == "fine");
}

}  // namespace
}  // namespace primroseweir
