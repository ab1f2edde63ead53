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

// Ports of the upstreams by id; the port is the field that the tests change.
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

Ports MakePorts(int count) {
  Ports ports;
  for (int i = 0; i < count; ++i) ports["up-" + std::to_string(1'000 + i)] = 7'000 + i;
  return ports;
}

ConfigurationValues InstancesValue(std::uint64_t revision, const Ports& ports) {
  return {{"instances", {Revision(revision), ListText(ports)}}};
}

// Guards against sending the complete list for a change of one upstream: at 27,000 changes a day,
// complete parts would exceed 14 KB/s per node.
TEST_CASE("removing one of 1,300 upstreams gives a response below 300 bytes") {
  ConfigurationPatches patches;
  Ports ports = MakePorts(1'300);
  const ConfigurationValues base = InstancesValue(5, ports);
  patches.Record(base);
  ports.erase("up-1000");
  patches.Record(InstancesValue(6, ports));
  const json response = patches.MakeResponse(Revision(5));
  CHECK(response.at("values").empty());
  CHECK(response.at("patches").size() == 1);
  CHECK(response.dump().size() < 300);
  const auto result = ConfigurationPatches::Apply(response, base);
  REQUIRE(result.ok());
  CHECK(result->at("instances").revision == Revision(6));
  CHECK(json::parse(result->at("instances").text) == json::parse(ListText(ports)));
}

TEST_CASE("a peer without a revision gets complete values") {
  ConfigurationPatches patches;
  patches.Record(InstancesValue(5, MakePorts(2)));
  patches.Record(InstancesValue(6, MakePorts(3)));
  const json response = patches.MakeResponse(Revision());
  CHECK(response.at("patches").empty());
  const auto result = ConfigurationPatches::Apply(response, {});
  REQUIRE(result.ok());
  CHECK(result->at("instances").text == ListText(MakePorts(3)));
}

TEST_CASE("a peer with a revision older than the kept deltas gets complete values") {
  ConfigurationPatches patches;
  Ports ports = MakePorts(100);
  for (std::uint64_t revision = 1; revision <= ConfigurationPatches::kMaxDeltasPerKey + 3;
       ++revision) {
    ports["up-1000"] = static_cast<int>(revision);
    patches.Record(InstancesValue(revision, ports));
  }
  CHECK(patches.MakeResponse(Revision(2)).at("values").size() == 1);
  CHECK(
      patches.MakeResponse(Revision(ConfigurationPatches::kMaxDeltasPerKey)).at("patches").size() ==
      3);
}

TEST_CASE("a peer that is up to date gets no patches or values") {
  ConfigurationPatches patches;
  patches.Record(InstancesValue(5, MakePorts(2)));
  const json response = patches.MakeResponse(Revision(5));
  CHECK(response.at("values").empty());
  CHECK(response.at("patches").empty());
  CHECK(response.at("revision") == 5);
}

// Guards against applying a patch to another base value, which would give a configuration that
// nobody wrote.
TEST_CASE("patches on another base value or with another result are rejected",
          "[config-in-force]") {
  ConfigurationPatches patches;
  Ports ports = MakePorts(50);
  const ConfigurationValues base = InstancesValue(5, ports);
  patches.Record(base);
  ports["up-1000"] = 9;
  patches.Record(InstancesValue(6, ports));
  const json response = patches.MakeResponse(Revision(5));
  const auto code = [&response](const ConfigurationValues& values) {
    return ConfigurationPatches::Apply(response, values).status().code();
  };
  CHECK(code(base) == absl::StatusCode::kOk);
  CHECK(code({}) == absl::StatusCode::kFailedPrecondition);
  CHECK(code(InstancesValue(4, MakePorts(50))) == absl::StatusCode::kFailedPrecondition);
  CHECK(code(InstancesValue(5, MakePorts(51))) == absl::StatusCode::kDataLoss);
}

// Guards against a short patch that copies a value into itself until memory is exhausted.
TEST_CASE("patches with copy operations are rejected") {
  const ConfigurationValues base = InstancesValue(5, MakePorts(2));
  json response = {{"revision", 6}, {"values", json::array()}};
  response["patches"] = {{{"key", "instances"},
                          {"from", 5},
                          {"to", 6},
                          {"digest", ""},
                          {"patch", {{{"op", "copy"}, {"from", ""}, {"path", "/upstreams/x"}}}}}};
  const auto result = ConfigurationPatches::Apply(response, base);
  CHECK(result.status().code() == absl::StatusCode::kInvalidArgument);
}

// Guards against patches that give another configuration than the values from which they are made.
// The reference is a controller that gets each complete value.
TEST_CASE("patches and complete values give the same configuration", "[config-in-force]") {
  Random random(20261207);
  EventLog events("test");
  for (int round = 0; round < 20; ++round) {
    ConfigurationPatches patches;
    ConfigurationController patched_controller(&events);
    ConfigurationController reference_controller(&events);
    Ports ports = MakePorts(30);
    for (std::uint64_t revision = 1; revision <= 30; ++revision) {
      const std::string id = "up-" + std::to_string(990 + random.UniformBelow(60));
      if (random.UniformBelow(3) == 0) {
        ports.erase(id);
      } else {
        ports[id] = static_cast<int>(1 + random.UniformBelow(60'000));
      }
      const ConfigurationValues value = InstancesValue(revision, ports);
      patches.Record(value);
      reference_controller.Offer(value, Instant());
      if (random.UniformBelow(3) > 0) continue;
      const json response = patches.MakeResponse(patched_controller.Current()->revision);
      const auto result =
          ConfigurationPatches::Apply(response, patched_controller.ValuesAfter(Revision()));
      REQUIRE(result.ok());
      patched_controller.Offer(*result, Instant());
      REQUIRE(patched_controller.Current()->digest == reference_controller.Current()->digest);
      REQUIRE(json::parse(patched_controller.ValuesAfter(Revision()).at("instances").text) ==
              json::parse(value.at("instances").text));
    }
  }
}

}  // namespace
}  // namespace primroseweir
