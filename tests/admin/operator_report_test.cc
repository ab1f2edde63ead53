#include "primroseweir/admin/operator_report.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace primroseweir {
namespace {

using nlohmann::json;

json EventJson(int seq, int us, int counter, const std::string& name) {
  return {
      {"seq", seq}, {"us", us}, {"counter", counter}, {"event", name}, {"fields", json::array()}};
}

// Guards against an instance with an old configuration that operators do not notice.
TEST_CASE("StatusLines marks the instances with an old configuration revision") {
  const auto lines = StatusLines({{"a:1", "", {{"instance", "e1"}, {"configuration_revision", 7}}},
                                  {"a:2", "", {{"instance", "e2"}, {"configuration_revision", 6}}},
                                  {"a:3", "refused", {}}});
  CHECK(lines == std::vector<std::string>{"admin=a:1 configuration_revision=7 instance=e1 behind=0",
                                          "admin=a:2 configuration_revision=6 instance=e2 behind=1",
                                          "admin=a:3 result=no-answer error=refused"});
}

// Guards against sums by customer that leave out an instance or a reason.
TEST_CASE("StatusLines sums the calls of customers over the instances") {
  const auto page = [](int asked, int quota, int unknown) {
    return nlohmann::json{{"configuration_revision", 7},
                          {"customers",
                           {{{"customer", "desk"},
                             {"asked", asked},
                             {"served", asked - quota - unknown},
                             {"unknown", unknown},
                             {"refused", {{"quota", quota}}}},
                            {{"customer", "(none)"},
                             {"asked", 2},
                             {"served", 0},
                             {"unknown", 0},
                             {"refused", {{"customer", 2}}}}}}};
  };
  const auto lines =
      StatusLines({{"a:1", "", page(10, 3, 0)}, {"a:2", "", page(5, 0, 1)}, {"a:3", "down", {}}});
  REQUIRE(lines.size() == 5);
  CHECK(lines[3] == "customer=(none) asked=4 refused=4 refused_customer=4 served=0 unknown=0");
  CHECK(lines[4] == "customer=desk asked=15 refused=3 refused_quota=3 served=11 unknown=1");
  const auto damaged = StatusLines({{"a:1", "", {{"customers", {{{"customer", 5}}}}}}});
  CHECK(damaged.back().find("result=no-answer") != std::string::npos);
}

TEST_CASE("ExplainLines returns one line for each upstream") {
  const auto lines = ExplainLines(
      {"a:1",
       "",
       {{"service", "s"}, {"upstreams", {{{"id", "u"}, {"reason", "data centre out"}}}}}});
  CHECK(lines == std::vector<std::string>{"admin=a:1 service=s",
                                          "admin=a:1 id=u reason=\"data centre out\""});
}

// Guards against a timeline that lists an effect before its cause.
TEST_CASE("the timeline is ordered by hybrid time, process and event number") {
  const json first = {{"process", "b"},
                      {"events", {EventJson(1, 10, 0, "one"), EventJson(2, 10, 2, "four")}}};
  const json second = {
      {"process", "a"},
      {"events",
       {EventJson(9, 10, 1, "two"), EventJson(10, 10, 1, "three"), EventJson(11, 9, 5, "zero")}}};
  const auto lines = TimelineLines({{"x", "", first}, {"y", "", second}, {"z", "", json(3)}});
  REQUIRE(lines.size() == 6);
  CHECK(lines[0].rfind("admin=z result=no-answer", 0) == 0);
  std::string order;
  for (std::size_t i = 1; i < lines.size(); ++i) {
    order += lines[i].substr(lines[i].find("event=")) + " ";
  }
  CHECK(order == "event=zero event=one event=two event=three event=four ");
}

}  // namespace
}  // namespace primroseweir
