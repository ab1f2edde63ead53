#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "primroseweir/base/event_log.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/check_report.h"
#include "primroseweir/configuration/configuration_controller.h"
#include "primroseweir/configuration/configuration_patches.h"
#include "primroseweir/configuration/customer_priority.h"
#include "primroseweir/configuration/text_parser.h"
#include "primroseweir/configuration/value_key.h"
#include "primroseweir/customers/customer_table.h"

namespace primroseweir {
namespace {

// Occurs in no message of the parser.
constexpr char kSecret[] = "s3cr3t-k3y";

std::string CustomersText(const std::string& customers) {
  return "{\"services\": [{\"name\": \"a\"}],\n\"customers\": " + customers + "}";
}

std::string FirstError(const std::string& customers) {
  const auto validated = ParseText(CustomersText(customers));
  return validated.ok() ? "accepted" : FormatValidationError(validated.errors.front());
}

// Guards against fields of customers that are accepted but have no effect.
TEST_CASE("a text may name customers and public services") {
  const auto validated = ParseText(
      R"({"services": [{"name": "a", "public": true}, {"name": "b"}],
          "customers": [
            {"name": "desk", "keys": ["k1", "k2"], "priority": "refreshable", "rate": 20, "burst": 5},
            {"name": "night", "keys": []}]})");
  REQUIRE(validated.ok());
  CHECK(validated.value.services[0].is_public);
  CHECK_FALSE(validated.value.services[1].is_public);
  REQUIRE(validated.value.customers);
  const auto& customers = *validated.value.customers;
  REQUIRE(customers.size() == 2);
  CHECK(customers[0].customer.name.value() == "desk");
  CHECK(customers[0].keys == std::vector<std::string>{"k1", "k2"});
  CHECK(customers[0].customer.priority == kRefreshableCustomerPriority);
  CHECK(customers[0].customer.rate == 20);
  CHECK(customers[0].customer.burst == 5);
  CHECK_FALSE(customers[1].customer.priority);
  CHECK_FALSE(customers[1].customer.has_quota());
}

// Guards against an instance that asks for keys although the text names no customers.
TEST_CASE("a text without customers is not a text with an empty list of them") {
  CHECK_FALSE(ParseText(R"({"services": [{"name": "a"}]})").value.customers);
  CHECK(ParseText(CustomersText("[]")).value.customers);
}

// Guards against errors of customers without the line and field that operators need.
TEST_CASE("errors of customers give the line, the field, the problem and what is expected") {
  CHECK(FirstError("[{\"name\": \"d\", \"keys\": [\"k\"]},\n{\"name\": \"d\", \"keys\": []}]") ==
        "line=3 field=customers[1].name problem=\"duplicate name \\\"d\\\", first on line 2\" "
        "expected=\"each name once\"");
  CHECK(FirstError("[{\"name\": \"d\", \"keys\": [\"k\"]},\n{\"name\": \"e\", \"keys\": "
                   "[\"x\",\n\"k\"]}]") ==
        "line=4 field=customers[1].keys[1] problem=\"customers \\\"d\\\" and \\\"e\\\" share a "
        "key\" expected=\"each key once\"");
  CHECK(FirstError("[{\"name\": \"d\", \"keys\": [\"k\", \"k\"]}]") ==
        "line=2 field=customers[0].keys[1] problem=\"customer \\\"d\\\" has this key twice\" "
        "expected=\"each key once\"");
  CHECK(FirstError("[{\"name\": \"d\", \"keys\": [\"\"]}]") ==
        "line=2 field=customers[0].keys[0] problem=\"empty key\" "
        "expected=\"1 to 256 visible ASCII characters without spaces\"");
  CHECK(FirstError("[{\"name\": \"d\"}]") ==
        "line=2 field=customers[0] problem=\"field keys is missing\" "
        "expected=\"an object with this field\"");
  CHECK(FirstError("[{\"name\": \"d\", \"keys\": [], \"rate\": -1}]") ==
        "line=2 field=customers[0].rate problem=\"the value is a number with a sign or a "
        "fraction\" expected=\"a whole number from 1 to 10000000\"");
  CHECK(FirstError("[{\"name\": \"d\", \"keys\": [], \"rate\": 0}]") ==
        "line=2 field=customers[0].rate problem=\"the number is 0\" "
        "expected=\"a whole number from 1 to 10000000\"");
  CHECK(FirstError("[{\"name\": \"d\", \"keys\": [], \"rate\": 1, \"burst\": 99999999}]") ==
        "line=2 field=customers[0].burst problem=\"the number is 99999999\" "
        "expected=\"a whole number from 0 to 10000000\"");
  CHECK(FirstError("[{\"name\": \"d\", \"keys\": [], \"burst\": 3}]") ==
        "line=2 field=customers[0].burst problem=\"a burst without a rate\" "
        "expected=\"rate in the same customer\"");
  CHECK(FirstError("[{\"name\": \"d\", \"keys\": [], \"priority\": \"high\"}]") ==
        "line=2 field=customers[0].priority problem=\"unknown value\" "
        "expected=\"normal or refreshable\"");
  CHECK(FirstError("[{\"name\": \"d\", \"keys\": [], \"colour\": 1}]") ==
        "line=2 field=customers[0] problem=\"unknown field\" "
        "expected=\"name, keys, priority, rate or burst\"");
  CHECK(FirstError("{}") ==
        "line=2 field=customers problem=\"the value is an object\" "
        "expected=\"an array of customers\"");
}

// Texts with the key at its place and at wrong ones.
const std::vector<std::string>& TextsWithSecret() {
  static const auto* const kTexts = new std::vector<std::string>{
      CustomersText(
          R"([{"name": "d", "keys": ["s3cr3t-k3y"]}, {"name": "e", "keys": ["s3cr3t-k3y"]}])"),
      CustomersText(R"([{"name": "d", "keys": ["s3cr3t-k3y", "s3cr3t-k3y"]}])"),
      CustomersText(R"([{"name": "d", "keys": ["s3cr3t-k3y with a space"]}])"),
      CustomersText(R"([{"name": "S3 s3cr3t-k3y", "keys": []}])"),
      CustomersText(R"([{"name": "d", "keys": {"s3cr3t-k3y": 1}}])"),
      CustomersText(R"([{"name": "d", "s3cr3t-k3y": []}])"),
      CustomersText(R"([{"name": "d", "keys": [], "priority": "s3cr3t-k3y"}])"),
      CustomersText(R"([{"name": "d", "keys": ["s3cr3t-k3y" "x"]}])"),
      CustomersText(R"([{"name": "d", "keys": ["s3cr3t-k3y)"),
      CustomersText(R"([{"name": "d", "keys": ["s3cr3t-k3y\x"]}])"),
      CustomersText(R"([{"name": "d", "keys": [s3cr3t-k3y]}])")};
  return *kTexts;
}

// Guards against keys in the output of primroseweir-ctl and in the events of rejected texts.
TEST_CASE("no error, event or output contains a key") {
  const std::string valid = CustomersText(R"([{"name": "d", "keys": ["s3cr3t-k3y", "other"]}])");
  const std::string changed = CustomersText(R"([{"name": "d", "keys": ["s3cr3t-k3y-2"]}])");
  std::string output;
  for (const auto& text : TextsWithSecret()) {
    CheckReport report = CheckValues({"text.json", text}, std::nullopt);
    CHECK_FALSE(report.accepted);
    for (const auto& line : report.lines) output += line + "\n";
  }
  for (const auto& line : CheckValues({"text.json", valid}, std::nullopt).lines) output += line;
  for (const auto& line : DiffTexts({"a", valid}, {"b", changed}).lines) output += line;
  EventLog events("test");
  ConfigurationController controller(&events);
  std::uint64_t revision = 0;
  for (const auto& text : TextsWithSecret()) {
    controller.Offer({{kTextKey, {Revision(++revision), text}}}, MonotonicNow());
  }
  controller.Offer({{kTextKey, {Revision(++revision), valid}}}, MonotonicNow());
  for (const auto& rejection : controller.Rejections()) {
    for (const auto& reason : rejection.errors) output += FormatValidationError(reason);
  }
  for (const auto& event : events.EventsAfter(0)) output += FormatEvent(event);
  REQUIRE(controller.Current()->customers != nullptr);
  CHECK(controller.Current()->customers->FindByKey(kSecret) != nullptr);
  CHECK(output.find("s3cr3t") == std::string::npos);
  CHECK(output.find("configuration_rejected") != std::string::npos);
}

// Guards against keys in the error for a patch of a peer that can't be decoded.
TEST_CASE("an error of a patch does not quote the value") {
  const ConfigurationValues base{{kTextKey, {Revision(1), "{\"keys\": [\"s3cr3t-k3y\" x"}}};
  const auto response = nlohmann::json{{"revision", 2},
                                       {"values", nlohmann::json::array()},
                                       {"patches",
                                        {{{"key", kTextKey},
                                          {"from", 1},
                                          {"to", 2},
                                          {"digest", ""},
                                          {"patch", nlohmann::json::array()}}}}};
  const auto applied = ConfigurationPatches::Apply(response, base);
  REQUIRE_FALSE(applied.ok());
  CHECK(applied.status().ToString().find("s3cr3t") == std::string::npos);
}

// Guards against customers that a patch between peers loses or reorders.
TEST_CASE("customers survive a patch between peers") {
  const std::string before = CustomersText(R"([{"name": "d", "keys": ["k1"]}])");
  const std::string after =
      CustomersText(R"([{"name": "d", "keys": ["k2"]}, {"name": "e", "keys": ["k1"], "rate": 3}])");
  ConfigurationPatches patches;
  patches.Record({{kTextKey, {Revision(1), before}}});
  patches.Record({{kTextKey, {Revision(2), after}}});
  const auto applied = ConfigurationPatches::Apply(patches.MakeResponse(Revision(1)),
                                                   {{kTextKey, {Revision(1), before}}});
  REQUIRE(applied.ok());
  const auto parsed = ParseText(applied->at(kTextKey).text);
  REQUIRE(parsed.ok());
  REQUIRE(parsed.value.customers->size() == 2);
  CHECK(parsed.value.customers->at(0).keys == std::vector<std::string>{"k2"});
  CHECK(parsed.value.customers->at(1).customer.rate == 3);
}

// Guards against an instance that keeps customers, or a key, that a newer text doesn't have.
TEST_CASE("a newer text replaces the customers") {
  EventLog events("test");
  ConfigurationController controller(&events);
  const auto offer = [&](std::uint64_t revision, const std::string& text) {
    controller.Offer({{kTextKey, {Revision(revision), text}}}, MonotonicNow());
    return controller.Current()->customers;
  };
  const auto first = offer(1, CustomersText(R"([{"name": "d", "keys": ["k1"]}])"));
  REQUIRE(first != nullptr);
  CHECK(first->FindByKey("k1") != nullptr);
  const auto second = offer(2, CustomersText(R"([{"name": "d", "keys": ["k2"]}])"));
  CHECK(second->FindByKey("k1") == nullptr);
  CHECK(second->FindByKey("k2") != nullptr);
  CHECK(offer(3, CustomersText(R"([{"name": "d", "keys": [""]}])")) == second);
  CHECK(offer(4, R"({"services": [{"name": "a"}]})") == nullptr);
}

// Guards against a diff that hides a change of a customer, or shows keys.
TEST_CASE("diff shows changes of customers and of public services") {
  const std::string without = R"({"services": [{"name": "a"}]})";
  const std::string before =
      R"({"services": [{"name": "a"}], "customers": [
        {"name": "d", "keys": ["k1", "k2"], "rate": 5}, {"name": "old", "keys": []}]})";
  const std::string after =
      R"({"services": [{"name": "a", "public": true}], "customers": [
        {"name": "d", "keys": ["k2", "k3", "k4"], "rate": 9, "burst": 2, "priority": "normal"},
        {"name": "new", "keys": ["k9"]}]})";
  CHECK(
      DiffTexts({"a", before}, {"b", after}).lines ==
      std::vector<std::string>{"change=changed service=a field=public old=false new=true",
                               "change=changed customer=d field=keys added=2 removed=1",
                               "change=changed customer=d field=priority old=none new=normal",
                               "change=changed customer=d field=rate old=5 new=9",
                               "change=changed customer=d field=burst old=0 new=2",
                               "change=added customer=new keys=1 priority=none rate=none burst=0",
                               "change=removed customer=old keys=0 priority=none rate=none burst=0",
                               "result=compared changes=7"});
  CHECK(DiffTexts({"a", without}, {"b", before}).lines.front() ==
        "change=added field=customers effect=\"calls need a key\"");
  CHECK(CheckValues({"text.json", before}, std::nullopt).lines ==
        std::vector<std::string>{
            "result=warning customer=old problem=\"no key\" effect=\"the customer can make no "
            "calls\"",
            "result=accepted file=text.json services=1 customers=2"});
}

}  // namespace
}  // namespace primroseweir
