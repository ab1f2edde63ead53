#include "primroseweir/entry/entry_settings.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "primroseweir/base/error.h"

namespace primroseweir {
namespace {

using Json = nlohmann::json;

Json ValidSettings() {
  return Json::parse(R"({"id": "entry-3", "data_centre": "krems",
    "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
    "admin_address": "127.0.0.1:0", "seat": 3, "seats": 34,
    "configuration_service": ["127.0.0.1:9000"], "peers": ["127.0.0.1:9101"],
    "fleet_key": "0123456789", "operator_token": "0123456789"})");
}

// Guards against valid settings that are refused or parsed incorrectly.
TEST_CASE("complete valid settings are parsed") {
  const auto settings = ParseEntrySettings(ValidSettings().dump());
  REQUIRE(settings.ok());
  CHECK(settings->id == InstanceId("entry-3"));
  CHECK(settings->seat == Seat(3));
  CHECK(settings->seat_count == 34);
  CHECK(settings->peers.size() == 1);
}

// Guards against wrong settings that start an instance in a way that its operator did not intend,
// and against error messages without the name of the field.
TEST_CASE("wrong settings are refused with the name of the field") {
  const std::vector<std::pair<std::string, Json>> invalid_fields = {
      {"id", "entry.3"},
      {"id", ""},
      {"data_centre", 5},
      {"caller_address", "127.0.0.1"},
      {"peer_address", "host:80"},
      {"admin_address", "127.0.0.1:70000"},
      {"seat", 34},
      {"seat", -1},
      {"seats", 0},
      {"configuration_service", "127.0.0.1:9000"},
      {"configuration_service", Json::array()},
      {"peers", Json::array({"x"})},
      {"fleet_key", "short"},
      {"operator_token", ""},
      {"unknown", 1}};
  for (const auto& [field, value] : invalid_fields) {
    auto object = ValidSettings();
    object[field] = value;
    const auto settings = ParseEntrySettings(object.dump());
    INFO(object.dump());
    REQUIRE_FALSE(settings.ok());
    const auto expected = field == "seats" ? "seat" : field;
    CHECK(MessageOf(settings.status()).find(expected) != std::string::npos);
  }
  const auto valid = ValidSettings();
  for (const auto& [field, value] : valid.items()) {
    auto object = ValidSettings();
    object.erase(field);
    CHECK_FALSE(ParseEntrySettings(object.dump()).ok());
  }
  CHECK_FALSE(ParseEntrySettings("[]").ok());
  CHECK_FALSE(ParseEntrySettings("{").ok());
}

}  // namespace
}  // namespace primroseweir
