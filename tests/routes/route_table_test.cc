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

// Guards against calls that are routed by a shorter prefix or to another host's service.
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

// Guards against shares that deviate from the weights over a short span of calls.
TEST_CASE("after each call the shares of services are within 1.5 calls of their weights",
          "[routes]") {
  Route route = RouteTo("a.example", "/x/", "one");
  route.targets = {{ServiceName("one"), 7}, {ServiceName("two"), 2}, {ServiceName("three"), 1}};
  WeightedServicePicker picker(5);
  std::map<std::string, int> counts;
  for (int i = 1; i <= 1000; ++i) {
    ++counts[picker.Next(route).value()];
    CHECK(std::abs(counts["one"] - i * 0.7) <= 1.5);
    CHECK(std::abs(counts["two"] - i * 0.2) <= 1.5);
    CHECK(std::abs(counts["three"] - i * 0.1) <= 1.5);
  }
}

// Guards against credits from old weights that distort the shares after a change.
TEST_CASE("changed weights apply from the next call", "[routes]") {
  Route route = RouteTo("a.example", "/x/", "one");
  route.targets = {{ServiceName("one"), 99}, {ServiceName("two"), 1}};
  WeightedServicePicker picker(5);
  for (int i = 0; i < 50; ++i) {
    picker.Next(route);
  }
  route.targets = {{ServiceName("one"), 1}, {ServiceName("two"), 99}};
  int two_calls = 0;
  for (int i = 0; i < 100; ++i) {
    two_calls += picker.Next(route).value() == "two" ? 1 : 0;
  }
  CHECK(two_calls >= 98);
}

}  // namespace
}  // namespace primroseweir
