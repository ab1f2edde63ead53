#include "primroseweir/configuration/instances_parser.h"

#include <catch2/catch.hpp>
#include <string>

#include "primroseweir/configuration/declarations_parser.h"

namespace primroseweir {
namespace {

constexpr char kUpstream[] =
    R"({"id":"ib-1","service":"ice-board","data_centre":"krems","address":"127.0.0.1:7001","slots":6,
"connections":260,"probe":"/probe","probe_cost_ms":6,"state":"live"})";

std::string ListText(const std::string& upstreams) { return "{\"upstreams\":[" + upstreams + "]}"; }

// Returns a list of kUpstream with the first occurrence of `from` replaced by `to`.
std::string ListWithReplacement(const std::string& from, const std::string& to) {
  std::string text = kUpstream;
  return ListText(text.replace(text.find(from), from.size(), to));
}

std::string FirstProblem(const Validated<InstanceList>& validated) {
  if (validated.ok()) return "accepted";
  return validated.errors[0].field + ": " + validated.errors[0].problem;
}

TEST_CASE("a list with all fields of an upstream is accepted") {
  const auto validated = ParseInstances(ListText(kUpstream));
  REQUIRE(validated.ok());
  REQUIRE(validated.value.upstreams.size() == 1);
  const UpstreamRecord& record = validated.value.upstreams[0];
  CHECK(record.id.value() == "ib-1");
  CHECK(record.service.value() == "ice-board");
  CHECK(record.data_centre.value() == "krems");
  CHECK(record.address.ToString() == "127.0.0.1:7001");
  CHECK(record.slots == 6);
  CHECK(record.connections == 260);
  CHECK(record.probe_target == "/probe");
  CHECK(record.probe_cost == std::chrono::milliseconds(6));
  CHECK(record.state == ListedState::kLive);
}

TEST_CASE("an upstream without probe fields has an empty probe") {
  const auto validated =
      ParseInstances(ListWithReplacement("\"probe\":\"/probe\",\"probe_cost_ms\":6,", ""));
  REQUIRE(validated.ok());
  CHECK(validated.value.upstreams[0].probe_target.empty());
}

// Guards against values that would route calls to a wrong address or cause a division by zero.
TEST_CASE("errors name the invalid field of an upstream and the problem") {
  const auto problem = [](const std::string& from, const std::string& to) {
    return FirstProblem(ParseInstances(ListWithReplacement(from, to)));
  };
  CHECK(problem("127.0.0.1:7001", "localhost") ==
        "upstreams[0].address: bad address \"localhost\"");
  CHECK(problem("127.0.0.1:7001", "127.0.0.1:0") ==
        "upstreams[0].address: bad address \"127.0.0.1:0\"");
  CHECK(problem("\"slots\":6", "\"slots\":0") == "upstreams[0].slots: the number is 0");
  CHECK(problem("\"slots\":6", "\"slots\":-1") ==
        "upstreams[0].slots: the value is a number with a sign or a fraction");
  CHECK(problem("\"connections\":260", "\"connections\":\"260\"") ==
        "upstreams[0].connections: the value is a string");
  CHECK(problem("\"live\"", "\"warm\"") == "upstreams[0].state: unknown value \"warm\"");
  CHECK(problem("ice-board", "Ice") == "upstreams[0].service: bad name \"Ice\"");
  CHECK(problem("/probe", "/a b") == "upstreams[0].probe: bad probe target \"/a b\"");
  CHECK(problem("\"probe_cost_ms\":6", "\"probe_cost_ms\":0") ==
        "upstreams[0].probe_cost_ms: a probe without a cost");
  CHECK(problem("\"id\":\"ib-1\",", "") == "upstreams[0]: field id is missing");
  CHECK(FirstProblem(ParseInstances(ListText(std::string(kUpstream) + "," + kUpstream))) ==
        "upstreams[1].id: duplicate id \"ib-1\"");
}

// Guards against a field newly added by the platform that makes all instances reject the list.
TEST_CASE("unknown fields of an upstream are ignored") {
  CHECK(ParseInstances(ListWithReplacement("\"slots\"", "\"rack\":{\"row\":[1]},\"slots\"")).ok());
}

TEST_CASE("a list has either upstreams or parts") {
  CHECK(ParseInstances("{\"parts\":[\"krems\",\"melk\"]}").value.parts.size() == 2);
  CHECK(FirstProblem(ParseInstances("{}")) == ": no upstreams or parts");
  CHECK(FirstProblem(ParseInstances("{\"parts\":[],\"upstreams\":[]}")) ==
        ": both upstreams and parts");
  CHECK(FirstProblem(ParseInstances("{\"parts\":[\"a\",\"a\"]}")) ==
        "parts[1]: duplicate name \"a\"");
}

TEST_CASE("a part may list upstreams of its own data centre only") {
  CHECK(ParseInstancesPart(ListText(kUpstream), DataCentre("krems")).ok());
  CHECK(FirstProblem(ParseInstancesPart(ListText(kUpstream), DataCentre("melk"))) ==
        "upstreams[0].data_centre: data centre \"krems\" in the part of \"melk\"");
  CHECK(FirstProblem(ParseInstancesPart("{}", DataCentre("melk"))) ==
        ": field upstreams is missing");
}

TEST_CASE("declarations give the set of data centres out of service") {
  const auto validated = ParseDeclarations(R"({"out": ["krems", "melk", "krems"]})");
  REQUIRE(validated.ok());
  CHECK(validated.value == std::set<DataCentre>{DataCentre("krems"), DataCentre("melk")});
  CHECK(ParseDeclarations(R"({"out": []})").value.empty());
  CHECK_FALSE(ParseDeclarations(R"({"out": ["krems"], "in": []})").ok());
  CHECK_FALSE(ParseDeclarations(R"({"out": "krems"})").ok());
  CHECK_FALSE(ParseDeclarations(R"({"out": [1]})").ok());
  CHECK_FALSE(ParseDeclarations("{}").ok());
  CHECK_FALSE(ParseDeclarations("[]").ok());
}

}  // namespace
}  // namespace primroseweir
