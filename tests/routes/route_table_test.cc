#include "primroseweir/routes/route_table.h"

#include <catch2/catch.hpp>

#include "primroseweir/routes/weighted_service_picker.h"

namespace primroseweir {
namespace {

Route RouteTo(const std::string& host, const std::string& prefix, const std::string& service) {
  Route route;
  route.host = host;
  route.prefix = prefix;
  route.targets = {{ServiceName(service), 1}};
  return route;
}

RouteTable TableOf(std::vector<Route> routes) {
  return RouteTable(1, std::move(routes), {}, CallerLimits());
}

std::string ServiceOf(const RouteTable& table, const std::string& host, const std::string& target) {
  const auto* route = table.Find(host, target);
  return route == nullptr ? "" : route->targets.front().service.value();
}

// Guards against calls that go to a shorter prefix or another host's service.
TEST_CASE("the longest prefix of the host selects the route", "[routes]") {
  const auto table =
      TableOf({RouteTo("a.example", "/x/", "short"), RouteTo("a.example", "/x/y/", "long"),
               RouteTo("b.example", "/x/", "other")});
  CHECK(ServiceOf(table, "a.example", "/x/1") == "short");
  CHECK(ServiceOf(table, "a.example", "/x/y/1?q=/x/") == "long");
  CHECK(ServiceOf(table, "A.Example:8080", "/x/y") == "short");
  CHECK(ServiceOf(table, "b.example", "/x/y/1") == "other");
  CHECK(ServiceOf(table, "a.example", "/xy/") == "");
  CHECK(ServiceOf(table, "a.example", "/z?p=/x/") == "");
  CHECK(ServiceOf(table, "c.example", "/x/") == "");
}

// Guards against a split that drifts from its weights over a short span of calls.
TEST_CASE("a split keeps its weights within one call", "[routes]") {
  Route route = RouteTo("a.example", "/x/", "one");
  route.targets = {{ServiceName("one"), 7}, {ServiceName("two"), 2}, {ServiceName("three"), 1}};
  WeightedServicePicker chooser(5);
  std::map<std::string, int> counts;
  for (int i = 1; i <= 1000; ++i) {
    ++counts[chooser.Next(route).value()];
    CHECK(std::abs(counts["one"] - i * 0.7) <= 1.5);
    CHECK(std::abs(counts["two"] - i * 0.2) <= 1.5);
    CHECK(std::abs(counts["three"] - i * 0.1) <= 1.5);
  }
}

// Guards against credits of old weights that distort the shares after a change.
TEST_CASE("changed weights are in force with the next call", "[routes]") {
  Route route = RouteTo("a.example", "/x/", "one");
  route.targets = {{ServiceName("one"), 99}, {ServiceName("two"), 1}};
  WeightedServicePicker chooser(5);
  for (int i = 0; i < 50; ++i) {
    chooser.Next(route);
  }
  route.targets = {{ServiceName("one"), 1}, {ServiceName("two"), 99}};
  int two = 0;
  for (int i = 0; i < 100; ++i) {
    two += chooser.Next(route).value() == "two" ? 1 : 0;
  }
  CHECK(two >= 98);
}

}  // namespace
}  // namespace primroseweir
