#include "primroseweir/balance/service_pressure.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "balance_fixture.h"

namespace primroseweir {
namespace {

// Guards against load reports to all data centres that start and stop with each call.
TEST_CASE("a service stays tight until the level has clearly fallen", "[balance]") {
  ServicePressure pressure;
  pressure.Update(45, 100);
  CHECK_FALSE(pressure.is_tight());
  pressure.Update(50, 100);
  CHECK(pressure.is_tight());
  pressure.Update(45, 100);
  CHECK(pressure.is_tight());
  pressure.Update(39, 100);
  CHECK_FALSE(pressure.is_tight());
}

// Guards against a service that counts as idle because all of its upstreams are lost.
TEST_CASE("a service without room is tight while it has calls", "[balance]") {
  ServicePressure pressure;
  pressure.Update(0, 0);
  CHECK(pressure.level() == 0);
  pressure.Update(3, 0);
  CHECK(pressure.level() == 1);
  CHECK(pressure.is_tight());
}

// Load: calls while no upstream is usable. Guards against a service that counts as idle at that
// moment, so that other data centres aren't told.
TEST_CASE("a service whose upstreams are all out is tight while it gets calls", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("u");
  fixture.data_centres_out = {DataCentre("here")};
  fixture.Apply();
  fixture.balancer.MeasurePressure(fixture.now);
  CHECK_FALSE(fixture.balancer.IsTight(ServiceName("s")));
  REQUIRE(fixture.PickId().empty());
  fixture.balancer.MeasurePressure(fixture.now);
  CHECK(fixture.balancer.IsTight(ServiceName("s")));
  fixture.now += std::chrono::seconds(2);
  fixture.balancer.MeasurePressure(fixture.now);
  CHECK_FALSE(fixture.balancer.IsTight(ServiceName("s")));
}

// Load: the local data centre fills up, and nothing is known of calls in the others. Guards against
// calls that leave for upstreams whose instances don't know of them, and against refusals while
// other data centres have room.
TEST_CASE("other data centres are told before calls leave for them", "[balance]") {
  BalanceFixture fixture;
  for (const std::string id : {"a", "b"}) {
    fixture.Add(id);
    fixture.Add(id + "1", "there");
    fixture.Add(id + "2", "there");
  }
  fixture.Apply();
  int calls = 0;
  auto upstream = fixture.Pick().upstream;
  for (; upstream->record().data_centre == DataCentre("here"); upstream = fixture.Pick().upstream) {
    fixture.balancer.RecordStart(upstream.get(), fixture.now);
    ++calls;
  }
  REQUIRE(calls >= 4);
  fixture.balancer.MeasurePressure(fixture.now);
  CHECK(fixture.balancer.ShouldTellOtherDataCentres());
  CHECK_FALSE(fixture.balancer.IsTight(ServiceName("s")));
}

// Load: the local data centre has no usable upstream, so that all calls leave. Guards against calls
// of which the instances there don't know.
TEST_CASE("other data centres are told of calls of a service without local upstreams",
          "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a", "there");
  fixture.Add("b", "there");
  fixture.Apply();
  fixture.balancer.MeasurePressure(fixture.now);
  CHECK_FALSE(fixture.balancer.ShouldTellOtherDataCentres());
  REQUIRE(fixture.PickId() != "");
  fixture.balancer.MeasurePressure(fixture.now);
  CHECK(fixture.balancer.ShouldTellOtherDataCentres());
  CHECK_FALSE(fixture.balancer.IsTight(ServiceName("s")));
  // Without calls there is nothing to tell.
  fixture.now += std::chrono::seconds(2);
  fixture.balancer.MeasurePressure(fixture.now);
  CHECK_FALSE(fixture.balancer.ShouldTellOtherDataCentres());
}

}  // namespace
}  // namespace primroseweir
