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

// Returns the seconds until the instance with that seat acquires an upstream for a call, while a
// peer sends fresh load reports with `reported_in_flight` calls. Returns 60 if it never does.
int SecondsUntilAcquired(Seat seat, std::uint32_t reported_in_flight) {
  EventLog events("test");
  Router::Options options;
  options.data_centre = DataCentre("krems");
  options.seat = seat;
  options.seat_count = kSeats;
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

// Guards against calls that never get an upstream because the owners of a cold upstream have no
// callers while their probes produce fresh reports. It occurred with real processes when all calls
// came to one instance.
TEST_CASE("[cold-start] fresh reports of an idle upstream do not keep a window unclaimed",
          "[cold-start]") {
  for (std::uint64_t seat = 0; seat < 3; ++seat) {
    CHECK(SecondsUntilAcquired(Seat(seat), 0) <= 5);
  }
}

// Guards against a second owner that sends calls while a long call of the first owner is in flight.
TEST_CASE("[cold-start] reported calls in flight prevent a claim of the owner's window",
          "[cold-start]") {
  int seats_without_upstream = 0;
  for (std::uint64_t seat = 0; seat < 3; ++seat) {
    if (SecondsUntilAcquired(Seat(seat), 1) == 60) ++seats_without_upstream;
  }
  CHECK(seats_without_upstream == 2);
}

// Guards against a returned data centre that gets no calls while the other data centres have room,
// because the owner of an upstream's window is an instance elsewhere that never sends there. It
// occurred with real processes on a loaded machine: 0 calls within 5 s of the return in 1 of 6
// runs.
TEST_CASE("[cold-start] an instance claims a silent upstream of its data centre for its own use",
          "[cold-start]") {
  int owners = 0;
  for (std::uint64_t seat = 0; seat < 3; ++seat) {
    EventLog events("test");
    Router::Options options;
    options.data_centre = DataCentre("krems");
    options.seat = Seat(seat);
    options.seat_count = kSeats;
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
      // The claim must leave time for the owner's last call and for claims of other instances to
      // become known.
      CHECK(first_use >= WarmUpWindow::kSilenceTimeout + WarmUpWindow::kClaimSettleTime);
    }
  }
  CHECK(owners == 1);
}

}  // namespace
}  // namespace primroseweir
