#include "primroseweir/balance/priority_admission.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct AdmissionFixture {
  // Lets a call of each priority arrive and be admitted every 5 ms for `time`.
  void Run(Duration time, bool found_room) {
    for (const auto end = now + time; now < end; now += milliseconds(5)) {
      for (const std::uint32_t priority : {0, 1, 2}) {
        admission.RecordArrival(priority, now);
      }
      admission.RecordPlacement(found_room, now);
    }
  }

  // Returns the share of a priority's calls that is refused.
  double RefusedShare(std::uint32_t priority) const {
    int refused = 0;
    for (int i = 0; i < 1000; ++i) {
      refused += admission.ShouldRefuse(priority, i / 1000.0, now) ? 1 : 0;
    }
    return refused / 1000.0;
  }

  PriorityAdmission admission;
  Instant now = Instant(std::chrono::hours(1));
};

// Guards against urgent calls that wait for slots which less urgent ones take.
TEST_CASE("the least urgent priority pays first, and none is starved", "[balance]") {
  AdmissionFixture fixture;
  fixture.Run(seconds(1), true);
  CHECK(fixture.RefusedShare(2) == 0);
  fixture.Run(milliseconds(60), false);
  CHECK(fixture.RefusedShare(2) > 0);
  CHECK(fixture.RefusedShare(1) == 0);
  fixture.Run(seconds(2), false);
  CHECK(fixture.RefusedShare(2) == Approx(PriorityAdmission::kMaxRefusedShare));
  CHECK(fixture.RefusedShare(1) == Approx(PriorityAdmission::kMaxRefusedShare));
  CHECK(fixture.RefusedShare(0) == 0);
}

// Guards against refusals that begin late in a burst or outlast it.
TEST_CASE("the shortage follows the load within a few hundred milliseconds", "[balance]") {
  AdmissionFixture fixture;
  fixture.Run(seconds(1), true);
  fixture.Run(milliseconds(300), false);
  CHECK(fixture.admission.Shortage(fixture.now) > 0.9);
  fixture.Run(milliseconds(700), true);
  CHECK(fixture.admission.Shortage(fixture.now) == 0);
}

// Guards against refusals by one priority alone, which would leave the room unused.
TEST_CASE("calls of one priority are not refused", "[balance]") {
  AdmissionFixture fixture;
  for (int i = 0; i < 100; ++i) {
    fixture.admission.RecordArrival(2, fixture.now);
    fixture.admission.RecordPlacement(false, fixture.now);
  }
  CHECK(fixture.RefusedShare(2) == 0);
  // Calls of a more urgent priority that arrived long ago need no room.
  fixture.admission.RecordArrival(0, fixture.now - seconds(3));
  CHECK(fixture.RefusedShare(2) == 0);
  fixture.admission.RecordArrival(0, fixture.now);
  CHECK(fixture.RefusedShare(2) > 0);
}

// Guards against an instance that refuses because of what it knew before a pause or by one call.
TEST_CASE("an instance without recent calls serves", "[balance]") {
  AdmissionFixture fixture;
  fixture.admission.RecordArrival(0, fixture.now);
  fixture.admission.RecordArrival(2, fixture.now);
  fixture.admission.RecordPlacement(false, fixture.now);
  CHECK(fixture.RefusedShare(2) < PriorityAdmission::kMaxRefusedShare / 4);
  fixture.Run(seconds(1), false);
  REQUIRE(fixture.RefusedShare(2) > 0);
  fixture.now += seconds(3);
  fixture.admission.RecordArrival(0, fixture.now);
  fixture.admission.RecordArrival(2, fixture.now);
  CHECK(fixture.RefusedShare(2) == 0);
}

TEST_CASE("the start and the end of a shortage are stated once", "[balance]") {
  AdmissionFixture fixture;
  fixture.Run(seconds(1), true);
  CHECK_FALSE(fixture.admission.TakeChange(fixture.now));
  fixture.Run(seconds(1), false);
  CHECK(fixture.admission.TakeChange(fixture.now) == true);
  CHECK_FALSE(fixture.admission.TakeChange(fixture.now));
  fixture.Run(seconds(1), true);
  CHECK(fixture.admission.TakeChange(fixture.now) == false);
}

}  // namespace
}  // namespace primroseweir
