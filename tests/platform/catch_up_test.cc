#include "catch_up.h"

#include <catch2/catch.hpp>

namespace primroseweir::platform {
namespace {

using std::chrono::milliseconds;

// Guards against an instance that serves before its peers could tell it which requests crash
// upstreams, and against a fleet that waits for strikes that nobody has after a power failure.
TEST_CASE("an instance that starts waits for the crash strikes of a peer, but only briefly",
          "[platform]") {
  CatchUpState state;
  state.has_watched_store = true;
  state.has_received_from_peer = true;
  state.since_start = milliseconds(5);
  CHECK(IsCatchingUp(state));
  state.has_known_strikes = true;
  CHECK_FALSE(IsCatchingUp(state));
  state.has_known_strikes = false;
  state.since_start = kFirstPeerResponseTimeout;
  CHECK_FALSE(IsCatchingUp(state));
}

// Guards against an instance that serves with a stale first read.
TEST_CASE("an instance that starts waits for newer state of its peers or the store", "[platform]") {
  CatchUpState state;
  state.has_received_from_peer = true;
  state.has_known_strikes = true;
  state.is_behind = true;
  state.since_start = milliseconds(299);
  CHECK(IsCatchingUp(state));
  state.since_start = kMaxCatchUpTime;
  CHECK_FALSE(IsCatchingUp(state));
  CatchUpState seed;
  seed.is_seed = true;
  seed.since_start = milliseconds(299);
  CHECK(IsCatchingUp(seed));
  seed.has_watched_store = true;
  CHECK_FALSE(IsCatchingUp(seed));
  CatchUpState alone;
  alone.since_start = kFirstPeerResponseTimeout;
  CHECK_FALSE(IsCatchingUp(alone));
}

}  // namespace
}  // namespace primroseweir::platform
