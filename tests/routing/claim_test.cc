#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <vector>

#include "primroseweir/base/event_log.h"
#include "primroseweir/routing/router.h"
#include "support/routing_fakes.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeats = 6;

// Seconds until a call finds an upstream at an instance without a share of any window, while a peer
// passes on fresh reports with that many calls in flight. 60 when it never does.
int SecondsUntilPlaced(Seat seat, std::uint32_t reported_in_flight) {
  EventLog events("test");
  Router::Options options;
  options.data_centre = DataCentre("krems");
  options.seat = seat;
  options.seats = kSeats;
  Router router(options, &events);
  Instant now{std::chrono::hours(1)};
  router.Apply(test::MakeSnapshot({test::MakeRecord("u1")}), now);
  router.SetLiveSeats({Seat(0), Seat(1), Seat(2)}, now);
  for (int second = 0; second < 60; ++second) {
    UpstreamObservation observation;
    observation.id = UpstreamId("u1");
    observation.report = LoadReport{reported_in_flight, milliseconds(2), milliseconds(50)};
    router.Merge({observation}, now);
    if (router.TryAcquire(test::MakeRequest(now + seconds(1)), now).ok()) return second;
    now += seconds(1);
  }
  return 60;
}

// Guards against calls that wait for ever because the owners of a cold upstream have no callers and
// their probes bring fresh reports: seen with real processes, where all calls came to one instance.
TEST_CASE("[cold-start] fresh reports of an idle upstream do not keep a window unclaimed",
          "[cold-start]") {
  for (std::uint64_t seat = 0; seat < 3; ++seat) {
    CHECK(SecondsUntilPlaced(Seat(seat), 0) <= 5);
  }
}

// Guards against a second owner that sends while a long call of the first one is in flight.
TEST_CASE("[cold-start] reported calls in flight keep the owner's window", "[cold-start]") {
  int waiting = 0;
  for (std::uint64_t seat = 0; seat < 3; ++seat) {
    if (SecondsUntilPlaced(Seat(seat), 1) == 60) ++waiting;
  }
  CHECK(waiting == 2);
}

// Guards against a data centre that returned and gets no calls while the others have room: the
// owner of an upstream's window was an instance elsewhere, which never sent there (seen with real
// processes beside load: 0 calls within 5 s of the return, in 1 of 6 runs).
TEST_CASE("[cold-start] an instance takes a silent upstream of its data centre into use",
          "[cold-start]") {
  int owners = 0;
  for (std::uint64_t seat = 0; seat < 3; ++seat) {
    EventLog events("test");
    Router::Options options;
    options.data_centre = DataCentre("krems");
    options.seat = Seat(seat);
    options.seats = kSeats;
    Router router(options, &events);
    Instant now{std::chrono::hours(1)};
    router.Apply(test::MakeSnapshot({test::MakeRecord("near"), test::MakeRecord("far", "melk")}),
                 now);
    router.SetLiveSeats({Seat(0), Seat(1), Seat(2)}, now);
    UpstreamObservation open;
    open.id = UpstreamId("far");
    open.epoch = Epoch(50);
    open.window = 6;
    const auto start = now;
    Duration first_use = Duration::max();
    for (int call = 0; call < 50 && first_use == Duration::max(); ++call) {
      router.Merge({open}, now);
      const auto lease = router.TryAcquire(test::MakeRequest(now + seconds(1)), now);
      REQUIRE(lease.ok());
      if (lease->record().id == UpstreamId("near")) first_use = now - start;
      now += milliseconds(100);
    }
    CHECK(first_use < seconds(5));
    if (first_use == Duration::zero()) {
      ++owners;
    } else {
      // The owner's last call and the claim of another instance are heard of first.
      CHECK(first_use >= WarmUpWindow::kSilenceTimeout + WarmUpWindow::kClaimSettleTime);
    }
  }
  CHECK(owners == 1);
}

}  // namespace
}  // namespace primroseweir
