#include <catch2/catch.hpp>
#include <string>

#include "filters/call_fixture.h"

namespace primroseweir {
namespace {

// Guards against a request that crashes one upstream after another because its caller keeps
// retrying it.
TEST_CASE("a request that crashed two upstreams is refused with outcome not-run") {
  const auto crash = [](ServerConnection* connection) {
    if (connection->request()->target == "/crash") {
      ReadAndReset(connection);
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
  const auto first_reply = entry.Send(CallFixture::Request("GET", "/board/crash"));
  CHECK(first_reply.outcome() == "unknown");
  const int requests_until_quarantine = first.requests + second.requests + third.requests;
  CHECK(requests_until_quarantine == 2);
  for (int i = 0; i < 5; ++i) {
    const auto refused_reply = entry.Send(CallFixture::Request("GET", "/board/crash"));
    CHECK(refused_reply.outcome() == "not-run");
    CHECK(refused_reply.head.status == 503);
  }
  CHECK(first.requests + second.requests + third.requests == requests_until_quarantine);
  CHECK(entry.Send(CallFixture::Request("GET", "/board/other")).body == "fine");
}

}  // namespace
}  // namespace primroseweir
