// The concurrency limit at the knee, learnt and corrected while calls compete for room.
#include <catch2/catch.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "balance_fixture.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 6;

// One upstream with six slots, of which callers use as many as the load balancer allows.
class BusyUpstream {
 public:
  BusyUpstream() {
    fixture_.Add("u").slots = kSlots;
    fixture_.Apply();
  }

  // Takes every slot that is offered for `time`. Calls take 100 ms, times `slowdown` if they start
  // above four calls. Returns the share of the time with more than four calls.
  double Run(Duration time, double slowdown) {
    int above_knee = 0;
    int steps = 0;
    for (const auto end = fixture_.now + time; fixture_.now < end;
         fixture_.now += milliseconds(10), ++steps) {
      EndCalls();
      while (fixture_.PickId() == "u") {
        auto& upstream = fixture_.At("u");
        fixture_.balancer.RecordStart(&upstream, fixture_.now);
        const auto calls = upstream.in_flight();
        const auto latency =
            std::chrono::duration_cast<Duration>(milliseconds(100) * (calls > 4 ? slowdown : 1.0));
        calls_.push_back({fixture_.now, fixture_.now + latency, static_cast<double>(calls)});
      }
      above_knee += calls_.size() > 4 ? 1 : 0;
    }
    return static_cast<double>(above_knee) / steps;
  }

 private:
  struct Call {
    Instant started;
    Instant end;
    double occupancy = 0;
  };

  void EndCalls() {
    for (auto it = calls_.begin(); it != calls_.end();) {
      if (it->end > fixture_.now) {
        ++it;
        continue;
      }
      fixture_.balancer.RecordEnd(&fixture_.At("u"), UpstreamOutcome::kResponded, it->started,
                                  it->occupancy, fixture_.now);
      it = calls_.erase(it);
    }
  }

  BalanceFixture fixture_;
  std::vector<Call> calls_;
};

}  // namespace

// Guards against a third of the room that stays unused for the life of the process, since the slots
// above the knee get no calls that would show that they have become fast.
TEST_CASE("a limit that was learnt in a slow spell is corrected under load", "[balance]") {
  BusyUpstream upstream;
  upstream.Run(seconds(10), 2.0);
  REQUIRE(upstream.Run(seconds(2), 2.0) < 0.5);
  upstream.Run(seconds(20), 1.0);
  CHECK(upstream.Run(seconds(2), 1.0) > 0.9);
}

// Guards against exploration that slows calls down as much as no limit would.
TEST_CASE("a limit that holds is rarely exceeded", "[balance]") {
  BusyUpstream upstream;
  upstream.Run(seconds(10), 2.0);
  CHECK(upstream.Run(seconds(20), 2.0) < 0.25);
}

// Guards against a knee that is derived from upstreams with other numbers of slots: the low
// occupancy of small ones looked like a low throughput of large ones.
TEST_CASE("upstreams with different numbers of slots are compared separately", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("small").slots = 2;
  fixture.Add("large").slots = 10;
  fixture.Apply();
  const auto respond = [&fixture](const std::string& id, double occupancy) {
    fixture.balancer.RecordEnd(&fixture.At(id), UpstreamOutcome::kResponded,
                               fixture.now - milliseconds(100), occupancy, fixture.now);
  };
  for (int i = 0; i < 30; ++i) {
    respond("small", 1);
    respond("small", 2);
    respond("large", 5);
  }
  fixture.At("small").SetPeerInFlight(2);
  fixture.At("large").SetPeerInFlight(9);
  CHECK(fixture.PickId() == "large");
}

}  // namespace primroseweir
