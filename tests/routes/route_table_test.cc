#include "primroseweir/routes/route_table.h"

#include <catch2/catch.hpp>

#include "primroseweir/base/random.h"
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

// Guards against an index that finds another route than a comparison with each prefix.
TEST_CASE("a large table finds the same routes as a linear search", "[routes]") {
  Random random(7);
  const auto random_path = [&random] {
    std::string path = "/";
    for (std::uint64_t i = random.UniformBelow(4); i > 0; --i) {
      path += static_cast<char>('a' + random.UniformBelow(3));
      path += random.UniformBelow(3) == 0 ? "" : "/";
    }
    return path;
  };
  std::vector<Route> routes;
  for (int i = 0; i < 60; ++i) {
    auto prefix = random_path();
    prefix += prefix.back() == '/' ? "" : "/";
    routes.push_back(RouteTo("h", prefix, std::to_string(i)));
  }
  const auto table = TableOf(routes);
  for (int i = 0; i < 2000; ++i) {
    const auto path = random_path();
    const Route* expected = nullptr;
    for (const auto& route : routes) {
      if (path.rfind(route.prefix, 0) == 0 &&
          (expected == nullptr || route.prefix.size() > expected->prefix.size())) {
        expected = &route;
      }
    }
    CHECK(ServiceOf(table, "h", path) ==
          (expected == nullptr ? "" : expected->targets.front().service.value()));
  }
}

// Guards against a call without a key whose path an upstream reads as one that needs a key.
TEST_CASE("a path in another spelling is public only if its plain form is", "[routes]") {
  auto routes = std::vector<Route>{RouteTo("h", "/p/", "s"), RouteTo("h", "/p/q/", "s"),
                                   RouteTo("h", "/p/q/r/", "s")};
  routes[0].is_public = routes[2].is_public = true;
  const auto table = TableOf(routes);
  const auto is_public = [&table](const std::string& target) {
    const auto* route = table.Find("h", target);
    return route != nullptr && table.IsPublic(*route, target);
  };
  for (const auto* target : {"/p/1", "/p/q/r/1", "/p/1?x=/../%71", "/p/%31", "/p//1", "/p/./1",
                             "/p/.hidden", "/p/x/../1", "/p/%", "/p/%4", "/p/%zz"}) {
    CAPTURE(target);
    CHECK(is_public(target));
  }
  for (const auto* target :
       {"/p/q/1", "/p/%71/1", "/p//q/1", "/p/./q/1", "/p/x/../q/1", "/p/../1", "/p/%2e%2e/1",
        "/p/q/r/../1", "/p/q/r/..", "/p%2f..%2fz/1", "/p/../..", "/p/..//x"}) {
    CAPTURE(target);
    CHECK_FALSE(is_public(target));
  }
}

// Guards against a call without a key whose path an upstream reads as one that needs a key: servers
// that drop parameters after a semicolon, or that decode escapes once more than this instance.
TEST_CASE("a path with parameters or escaped escapes is public only if each reading is",
          "[routes]") {
  auto routes = std::vector<Route>{RouteTo("h", "/p/", "s"), RouteTo("h", "/p/q/", "s")};
  routes[0].is_public = true;
  const auto table = TableOf(routes);
  const auto is_public = [&table](const std::string& target) {
    const auto* route = table.Find("h", target);
    return route != nullptr && table.IsPublic(*route, target);
  };
  for (const auto* target : {"/p/1;v=2", "/p/;v=2", "/p/x;v/1", "/p/1%3bv", "/p/100%25", "/p/%2541",
                             "/p/1?x=..;/%252e", "/p/a;q/1"}) {
    CAPTURE(target);
    CHECK(is_public(target));
  }
  for (const auto* target :
       {"/p/q;v/1", "/p/;v/q/1", "/p/..;/1", "/p/x/..;v=1/q/1", "/p/.;/q/1", "/p/..%3b/1",
        "/p/x;%2f../q/1", "/p/x%3b%2f../q/1", "/p/%252e%252e/1", "/p/%2571/1", "/p/q%253bv/1",
        "/p/x%252f..%252fq%252f1", "/p/%25252e%25252e/1", "/p/%2525252525252571/1"}) {
    CAPTURE(target);
    CHECK_FALSE(is_public(target));
  }
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
