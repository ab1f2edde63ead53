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
