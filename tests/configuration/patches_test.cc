#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "primroseweir/base/error.h"
#include "primroseweir/base/event_log.h"
#include "primroseweir/base/random.h"
#include "primroseweir/configuration/configuration_controller.h"
#include "primroseweir/configuration/configuration_patches.h"

namespace primroseweir {
namespace {

using nlohmann::json;

// A list by id, with the port as the part that changes.
using Ports = std::map<std::string, int>;

std::string ListText(const Ports& ports) {
  json list = json::array();
  for (const auto& [id, port] : ports) {
    list.push_back({{"id", id},
                    {"service", "a"},
                    {"data_centre", "krems"},
                    {"address", "127.0.0.1:" + std::to_string(port)},
                    {"slots", 1},
                    {"connections", 1},
                    {"state", "live"}});
  }
  return json{{"upstreams", list}}.dump();
}

Ports ManyPorts(int count) {
  Ports ports;
  for (int i = 0; i < count; ++i) ports["up-" + std::to_string(1'000 + i)] = 7'000 + i;
  return ports;
}

ConfigurationValues Instances(std::uint64_t revision, const Ports& ports) {
  return {{"instances", {Revision(revision), ListText(ports)}}};
}

// Guards against a list that is sent whole for a change of one upstream: at 27,000 changes a day
// whole parts would exceed 14 KB/s a node.
TEST_CASE("one removed upstream makes a short patch") {
  ConfigurationPatches patches;
  Ports ports = ManyPorts(1'300);
  const ConfigurationValues base = Instances(5, ports);
  patches.Record(base);
  ports.erase("up-1000");
  patches.Record(Instances(6, ports));
  const json response = patches.Respond(Revision(5));
  CHECK(response.at("values").empty());
  CHECK(response.at("patches").size() == 1);
  CHECK(response.dump().size() < 300);
  const auto result = ConfigurationPatches::Apply(response, base);
  REQUIRE(result.ok());
  CHECK(result->at("instances").revision == Revision(6));
  CHECK(json::parse(result->at("instances").text) == json::parse(ListText(ports)));
}

TEST_CASE("a peer without a revision gets whole values") {
  ConfigurationPatches patches;
  patches.Record(Instances(5, ManyPorts(2)));
  patches.Record(Instances(6, ManyPorts(3)));
  const json response = patches.Respond(Revision());
  CHECK(response.at("patches").empty());
  const auto result = ConfigurationPatches::Apply(response, {});
  REQUIRE(result.ok());
  CHECK(result->at("instances").text == ListText(ManyPorts(3)));
}

TEST_CASE("a peer older than the history gets whole values") {
  ConfigurationPatches patches;
  Ports ports = ManyPorts(100);
  for (std::uint64_t revision = 1; revision <= ConfigurationPatches::kHistory + 3; ++revision) {
    ports["up-1000"] = static_cast<int>(revision);
    patches.Record(Instances(revision, ports));
  }
  CHECK(patches.Respond(Revision(2)).at("values").size() == 1);
  CHECK(patches.Respond(Revision(ConfigurationPatches::kHistory)).at("patches").size() == 3);
}

TEST_CASE("a peer that is up to date gets nothing") {
  ConfigurationPatches patches;
  patches.Record(Instances(5, ManyPorts(2)));
  const json response = patches.Respond(Revision(5));
  CHECK(response.at("values").empty());
  CHECK(response.at("patches").empty());
  CHECK(response.at("revision") == 5);
}

// Guards against a patch on another base, which would make a configuration nobody wrote.
TEST_CASE("a wrong base or a wrong result is refused", "[config-in-force]") {
  ConfigurationPatches patches;
  Ports ports = ManyPorts(50);
  const ConfigurationValues base = Instances(5, ports);
  patches.Record(base);
  ports["up-1000"] = 9;
  patches.Record(Instances(6, ports));
  const json response = patches.Respond(Revision(5));
  const auto code = [&response](const ConfigurationValues& values) {
    return ConfigurationPatches::Apply(response, values).status().code();
  };
  CHECK(code(base) == absl::StatusCode::kOk);
  CHECK(code({}) == absl::StatusCode::kFailedPrecondition);
  CHECK(code(Instances(4, ManyPorts(50))) == absl::StatusCode::kFailedPrecondition);
  CHECK(code(Instances(5, ManyPorts(51))) == absl::StatusCode::kDataLoss);
}

// Guards against a short patch that copies a value into itself until memory is used up.
TEST_CASE("operations that copy are refused") {
  const ConfigurationValues base = Instances(5, ManyPorts(2));
  json response = {{"revision", 6}, {"values", json::array()}};
  response["patches"] = {{{"key", "instances"},
                          {"from", 5},
                          {"to", 6},
                          {"digest", ""},
                          {"patch", {{{"op", "copy"}, {"from", ""}, {"path", "/upstreams/x"}}}}}};
  const auto result = ConfigurationPatches::Apply(response, base);
  CHECK(result.status().code() == absl::StatusCode::kInvalidArgument);
}

// Guards against patches that lead elsewhere than the values they stand for. The naive way is to
// take the whole value each time.
TEST_CASE("patches and whole values lead to the same configuration", "[config-in-force]") {
  Random random(20261207);
  EventLog events("test");
  for (int round = 0; round < 20; ++round) {
    ConfigurationPatches patches;
    ConfigurationController by_patches(&events);
    ConfigurationController by_values(&events);
    Ports ports = ManyPorts(30);
    for (std::uint64_t revision = 1; revision <= 30; ++revision) {
      const std::string id = "up-" + std::to_string(990 + random.Below(60));
      if (random.Below(3) == 0) {
        ports.erase(id);
      } else {
        ports[id] = static_cast<int>(1 + random.Below(60'000));
      }
      const ConfigurationValues value = Instances(revision, ports);
      patches.Record(value);
      by_values.Offer(value, Instant());
      if (random.Below(3) > 0) continue;
      const json response = patches.Respond(by_patches.Current()->revision);
      const auto result = ConfigurationPatches::Apply(response, by_patches.ValuesAfter(Revision()));
      REQUIRE(result.ok());
      by_patches.Offer(*result, Instant());
      REQUIRE(by_patches.Current()->digest == by_values.Current()->digest);
      REQUIRE(json::parse(by_patches.ValuesAfter(Revision()).at("instances").text) ==
              json::parse(value.at("instances").text));
    }
  }
}

}  // namespace
}  // namespace primroseweir
