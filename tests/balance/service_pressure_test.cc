#include "primroseweir/balance/service_pressure.h"

#include <catch2/catch.hpp>

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

}  // namespace
}  // namespace primroseweir
