#include <sys/resource.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "node_settings.h"
#include "primroseweir/base/random.h"
#include "store_decoder.h"
#include "support/property.h"

namespace primroseweir::platform {
namespace {

using Json = nlohmann::json;

Json ConfigurationJson() {
  return Json::parse(R"({
    "version": "0000001c",
    "routes": {"columns": ["name", "host", "prefix", "service", "trafficSplit", "kind", "timeoutMs",
                           "sloMs", "maxAttempts", "priority"],
      "rows": [["r1", "a.example", "/x/", "s1", null, "idempotent", 1200, 250, 2, 2],
               ["r2", "a.example", "/y/", null, {"columns": ["service", "weight"],
                 "rows": [["s1", 3], ["s2", 1]]}, "non_idempotent", 800, 300, 1, 1]]},
    "services": [{"name": "s1", "healthPath": "/health", "maxConnections": 260, "warmupS": 3,
                  "coldPerS": 19.0},
                 {"name": "s2", "healthPath": "/health", "maxConnections": 260}],
    "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 9000}})");
}

auto DecodeJson(const Json& json) {
  std::set<std::string> kinds;
  return DecodeConfiguration(json.dump(), &kinds);
}

Json UpstreamJson() {
  return Json::parse(R"({"service": "s1", "address": "10.0.0.1:99", "zone": "a", "version": "v1",
    "maxConcurrency": 6, "state": "ready", "coldMs": 1500, "sequence": 4, "born": 1700000000123})");
}

// Largest resident memory of this process so far.
std::int64_t PeakResidentKilobytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

// Replaces tables of columns and rows by arrays of objects. Written independently of ParseRecords
// to check its result.
Json ExpandTables(const Json& json) {
  if (json.is_object() && json.contains("columns") && json.contains("rows")) {
    auto list = Json::array();
    for (const auto& row : json["rows"]) {
      Json record = Json::object();
      for (std::size_t i = 0; i < json["columns"].size(); ++i) {
        if (!row[i].is_null()) {
          record[json["columns"][i].get<std::string>()] = ExpandTables(row[i]);
        }
      }
      list.push_back(record);
    }
    return list;
  }
  if (json.is_object() || json.is_array()) {
    auto copy = json;
    for (auto& element : copy) {
      element = ExpandTables(element);
    }
    return copy;
  }
  return json;
}

TEST_CASE("a configuration is decoded into routes, services and limits", "[platform]") {
  const auto table = DecodeJson(ConfigurationJson());
  REQUIRE(table.ok());
  CHECK((*table)->version() == 0x1c);
  const auto* read = (*table)->Find("a.example", "/x/1");
  REQUIRE(read != nullptr);
  CHECK(read->kind == CallKind::kIdempotent);
  CHECK(read->timeout == std::chrono::milliseconds(1200));
  CHECK(read->latency_objective == std::chrono::milliseconds(250));
  CHECK(read->max_attempts == 2);
  CHECK(read->priority == 2);
  const auto* booking = (*table)->Find("a.example", "/y/1");
  REQUIRE(booking != nullptr);
  CHECK(booking->kind == CallKind::kNonIdempotent);
  REQUIRE(booking->targets.size() == 2);
  CHECK(booking->targets[1].service == ServiceName("s2"));
  CHECK(booking->targets[0].weight == 3);
  const auto* service_settings = (*table)->FindService(ServiceName("s1"));
  REQUIRE(service_settings != nullptr);
  CHECK(service_settings->warm_up == std::chrono::seconds(3));
  CHECK(service_settings->cold_rate == 19.0);
  CHECK((*table)->limits().idle_timeout == std::chrono::seconds(9));
}

// Guards against keys or quotas that are lost between the configuration and the table.
TEST_CASE("tenants are decoded into customers with keys and quotas", "[platform]") {
  auto json = ConfigurationJson();
  CHECK((*DecodeJson(json))->customers() == nullptr);
  json["tenants"] = Json::parse(R"([{"name": "t1", "apiKeys": ["k1", "k2"], "priority": 0,
    "ratePerS": 93, "burst": 20}, {"name": "t2", "apiKeys": []}])");
  const auto table = DecodeJson(json);
  REQUIRE(table.ok());
  REQUIRE((*table)->customers() != nullptr);
  const auto* customer = (*table)->customers()->FindByKey("k2");
  REQUIRE(customer != nullptr);
  CHECK(customer->name == CustomerName("t1"));
  CHECK(customer->priority == 0U);
  CHECK(customer->rate == 93);
  CHECK(customer->burst == 20);
  REQUIRE((*table)->customers()->customers().size() == 2);
  CHECK_FALSE((*table)->customers()->customers()[1].has_quota());
  CHECK_FALSE((*table)->customers()->customers()[1].priority.has_value());
}

// Guards against a key that two customers claim, and against names that could change a request.
TEST_CASE("configurations with ambiguous or invalid tenants are rejected", "[platform]") {
  for (const auto* tenants :
       {R"([{"name": "t1", "apiKeys": ["k"]}, {"name": "t2", "apiKeys": ["k"]}])",
        R"([{"name": "t\r\nX: y", "apiKeys": ["k"]}])", R"([{"name": "t1", "ratePerS": -1}])",
        R"([{"name": "t1", "apiKeys": "k"}])", R"([{"apiKeys": ["k"]}])"}) {
    CAPTURE(tenants);
    auto json = ConfigurationJson();
    json["tenants"] = Json::parse(tenants);
    CHECK_FALSE(DecodeJson(json).ok());
  }
}

// Guards against a configuration that is rejected for a field that its operators left empty.
TEST_CASE("null fields of tenants are treated as absent", "[platform]") {
  auto json = ConfigurationJson();
  json["tenants"] = Json::parse(
      R"([{"name": "t1", "apiKeys": null, "priority": null, "ratePerS": null, "burst": null}])");
  const auto table = DecodeJson(json);
  REQUIRE(table.ok());
  CHECK_FALSE((*table)->customers()->customers()[0].has_quota());
  CHECK_FALSE((*table)->customers()->customers()[0].priority.has_value());
}

// Guards against keys in the reason of a rejected configuration, which is logged: errors of the
// JSON library quote the text around the error.
TEST_CASE("the reason of a rejected configuration quotes no key", "[platform]") {
  auto json = ConfigurationJson();
  json["tenants"] = Json::parse(R"([{"name": "t1", "apiKeys": ["secret-key"]}])");
  const auto text = json.dump();
  const auto key_begin = text.find("secret-key");
  StoreDecoder decoder;
  std::uint64_t revision = 1;
  const auto check_reason = [&](const std::string& value) {
    const PublishedItem item{kConfigurationKey, value, Revision(++revision)};
    const auto result = decoder.Decode({&item}, item.revision);
    REQUIRE(result.rejected.size() == 1);
    CHECK_FALSE(result.rejected[0].reason.empty());
    CHECK(result.rejected[0].reason.find("secret") == std::string::npos);
  };
  for (auto size = key_begin; size < key_begin + 20; ++size) {
    check_reason(text.substr(0, size));
    check_reason(text.substr(0, size) + "\x01" + text.substr(size));
  }
  for (
      const auto* tenants :
      {R"("secret-key")", R"(["secret-key"])", R"([{"name": "t1", "apiKeys": "secret-key"}])",
       R"([{"name": "t1", "apiKeys": {"secret-key": 1}}])",
       R"([{"name": "t1", "priority": "secret-key"}])",
       R"([{"name": "t1", "apiKeys": ["secret-key"]}, {"name": "t2", "apiKeys": ["secret-key"]}])"}) {
    json["tenants"] = Json::parse(tenants);
    check_reason(json.dump());
  }
}

// Guards against a table that is decoded differently from the equivalent array.
TEST_CASE("tables and arrays of records are decoded alike", "[platform]") {
  const auto table = DecodeJson(ConfigurationJson());
  const auto expanded = DecodeJson(ExpandTables(ConfigurationJson()));
  REQUIRE(table.ok());
  REQUIRE(expanded.ok());
  REQUIRE((*table)->routes().size() == (*expanded)->routes().size());
  for (std::size_t i = 0; i < (*table)->routes().size(); ++i) {
    const auto& a = (*table)->routes()[i];
    const auto& b = (*expanded)->routes()[i];
    CHECK(a.prefix == b.prefix);
    CHECK(a.kind == b.kind);
    CHECK(a.timeout == b.timeout);
    CHECK(a.targets.size() == b.targets.size());
  }
}

TEST_CASE("an invalid configuration is rejected", "[platform]") {
  const auto is_rejected = [](const std::function<void(Json*)>& corrupt) {
    auto json = ExpandTables(ConfigurationJson());
    corrupt(&json);
    return !DecodeJson(json).ok();
  };
  CHECK(is_rejected([](Json* json) { (*json)["routes"][0]["service"] = "unknown"; }));
  CHECK(is_rejected([](Json* json) { (*json)["routes"][0]["kind"] = 7; }));
  CHECK(is_rejected([](Json* json) { (*json)["routes"][0]["prefix"] = "/x"; }));
  CHECK(is_rejected([](Json* json) { (*json)["routes"][0].erase("timeoutMs"); }));
  CHECK(is_rejected([](Json* json) { (*json)["routes"][0]["timeoutMs"] = 1e300; }));
  CHECK(is_rejected([](Json* json) { (*json)["routes"][0]["sloMs"] = -1e300; }));
  CHECK(is_rejected([](Json* json) { (*json)["services"][0]["warmupS"] = 1e300; }));
  CHECK(is_rejected([](Json* json) { (*json)["limits"]["idleTimeoutMs"] = 1e300; }));
  CHECK(is_rejected([](Json* json) { (*json)["version"] = "1c"; }));
  CHECK(is_rejected([](Json* json) { json->erase("limits"); }));
  std::set<std::string> kinds;
  CHECK_FALSE(DecodeConfiguration(ConfigurationJson().dump().substr(0, 200), &kinds).ok());
}

// Decodes items as of the highest of their revisions.
StoreDecoder::Result DecodeAll(StoreDecoder* decoder, const std::vector<PublishedItem>& items) {
  std::vector<const PublishedItem*> pointers;
  Revision at;
  for (const auto& item : items) {
    pointers.push_back(&item);
    at = std::max(at, item.revision);
  }
  return decoder->Decode(pointers, at);
}

// Guards against a kind of a later version that stops a whole fleet: the deployment retina-gw
// served nothing while its configuration had a route of an unknown kind.
TEST_CASE("a route of unknown kind is non-idempotent and is reported once",
          "[platform][at-most-once]") {
  auto json = ExpandTables(ConfigurationJson());
  json["routes"][0]["kind"] = "sometimes";
  StoreDecoder decoder;
  auto result = DecodeAll(&decoder, {{kConfigurationKey, json.dump(), Revision(5)}});
  REQUIRE(result.state->routes != nullptr);
  CHECK(result.rejected.empty());
  CHECK(result.unknown_kinds == std::vector<std::string>{"sometimes"});
  CHECK(result.state->routes->Find("a.example", "/x/1")->kind == CallKind::kNonIdempotent);
  CHECK(result.state->routes->Find("a.example", "/y/1")->kind == CallKind::kNonIdempotent);
  json["version"] = "0000001d";
  result = DecodeAll(&decoder, {{kConfigurationKey, json.dump(), Revision(6)}});
  CHECK(result.state->routes->version() == 0x1d);
  CHECK(result.unknown_kinds.empty());
}

// Guards against a field of a later version that stops a whole fleet.
TEST_CASE("fields of a later version are ignored", "[platform]") {
  auto json = ExpandTables(ConfigurationJson());
  json["colour"] = Json::array({1, 2});
  json["routes"][0]["mirror"] = {{"to", "s2"}};
  json["services"][0]["quorum"] = 3;
  json["limits"]["maxTrailers"] = "many";
  const auto table = DecodeJson(json);
  REQUIRE(table.ok());
  CHECK((*table)->routes().size() == 2);
  auto upstream = UpstreamJson();
  upstream["rack"] = Json::object();
  CHECK(DecodeUpstream(UpstreamId("i"), upstream.dump()).ok());
}

TEST_CASE("the kind upload is decoded", "[platform]") {
  auto json = ExpandTables(ConfigurationJson());
  json["routes"][0]["kind"] = "upload";
  const auto table = DecodeJson(json);
  REQUIRE(table.ok());
  CHECK((*table)->Find("a.example", "/x/1")->kind == CallKind::kUpload);
}

TEST_CASE("an upstream's entry is decoded", "[platform]") {
  const auto record = DecodeUpstream(UpstreamId("i-1"), UpstreamJson().dump());
  REQUIRE(record.ok());
  CHECK(record->slots == 6);
  CHECK(record->warm_up_left == std::chrono::milliseconds(1500));
  CHECK(record->started_ms == 1700000000123);
  CHECK(record->state == ListedState::kLive);
}

// Guards against calls to an address that another writer put among the upstream entries.
TEST_CASE("upstream entries with missing or invalid fields are rejected", "[platform]") {
  for (const char* field : {"service", "address", "zone", "version", "maxConcurrency", "state"}) {
    auto json = UpstreamJson();
    json.erase(field);
    CHECK_FALSE(DecodeUpstream(UpstreamId("i"), json.dump()).ok());
    json[field] = Json::array();
    CHECK_FALSE(DecodeUpstream(UpstreamId("i"), json.dump()).ok());
  }
  auto json = UpstreamJson();
  json["state"] = "resting";
  CHECK_FALSE(DecodeUpstream(UpstreamId("i"), json.dump()).ok());
  json = UpstreamJson();
  json["maxConcurrency"] = -1;
  CHECK_FALSE(DecodeUpstream(UpstreamId("i"), json.dump()).ok());
}

// Guards against an entry of another writer whose numbers overflow when they are converted, or that
// draws the calls of its service to an address without a server.
TEST_CASE("upstream entries with numbers out of range are rejected", "[platform]") {
  const std::vector<std::pair<std::string, std::vector<std::string>>> values = {
      {"coldMs", {"1e300", "1e400", "-1e300", "9223372036854775807", "3600001"}},
      {"maxConcurrency", {"0", "4294967295", "4294967302", "18446744073709551615", "1e3", "1e400"}},
      {"born", {"18446744073709551615", "9223372036854775808", "1e18", "1e400", "-1"}},
      {"sequence", {"1e400"}},
      {"address",
       {"\"10.0.0.1:0\"", "\"10.0.0.1:65536\"", "\"10.0.0.1:-1\"", "\"10.0.0.1:99999999999999\"",
        "\"10.0.0.1: 99\"", "\"10.0.0.1\"", "\"10.0.0.1:\"", "\"0.0.0.0:99\"", "\":99\"", "\"\""}}};
  for (const auto& [field, texts] : values) {
    for (const auto& text : texts) {
      auto json = UpstreamJson();
      json[field] = "PLACEHOLDER";
      auto entry = json.dump();
      const std::string placeholder = "\"PLACEHOLDER\"";
      entry.replace(entry.find(placeholder), placeholder.size(), text);
      INFO(entry);
      CHECK_FALSE(DecodeUpstream(UpstreamId("i"), entry).ok());
    }
  }
}

// Guards against memory that grows with the depth of an entry: a nested value of 1 MB, the largest
// that the store accepts, took 77 MB, half of the smallest machine's.
TEST_CASE("long and deeply nested upstream entries are rejected in bounded memory", "[platform]") {
  constexpr std::size_t kValueBytes = 1'000'000;
  const auto repeat = [](const std::string& part, std::size_t count) {
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
      text += part;
    }
    return text;
  };
  const auto with_member = [](const std::string& name, const std::string& value) {
    auto entry = UpstreamJson().dump();
    entry.pop_back();
    return entry + ",\"" + name + "\":" + value + "}";
  };
  const auto peak_before = PeakResidentKilobytes();
  for (const std::size_t bytes : {kMaxUpstreamEntryBytes - 1000, kValueBytes}) {
    const auto arrays = std::string(bytes / 2, '[') + std::string(bytes / 2, ']');
    const auto objects = repeat(R"({"a":)", bytes / 6) + "1" + std::string(bytes / 6, '}');
    for (const char* field : {"service", "address", "zone", "maxConcurrency", "state", "born"}) {
      CHECK_FALSE(DecodeUpstream(UpstreamId("i"), with_member(field, arrays)).ok());
      CHECK_FALSE(DecodeUpstream(UpstreamId("i"), with_member(field, objects)).ok());
    }
    CHECK_FALSE(DecodeUpstream(UpstreamId("i"), arrays).ok());
    CHECK_FALSE(DecodeUpstream(UpstreamId("i"), objects).ok());
    CHECK_FALSE(DecodeUpstream(UpstreamId("i"), std::string(bytes, '[')).ok());
    CHECK_FALSE(DecodeUpstream(UpstreamId("i"), repeat(R"({"a":)", bytes / 5)).ok());
    // A field of a later version leaves an entry in use while the entry is short.
    CHECK(DecodeUpstream(UpstreamId("i"), with_member("later", arrays)).ok() ==
          (bytes < kMaxUpstreamEntryBytes));
  }
  // The values themselves take 3 MB.
  CHECK(PeakResidentKilobytes() - peak_before < 20'000);
}

// Guards against an entry whose id, which is sent in a header field, adds fields to the request.
TEST_CASE("upstream entries whose id is not printable are rejected", "[platform]") {
  const auto entry = UpstreamJson().dump();
  CHECK(DecodeUpstream(UpstreamId("i-7f3a91c2"), entry).ok());
  for (const char* id : {"", "a b", "a\r\nX-Id: b", "a\tb", "a\x7f", "\xc3\xa4"}) {
    CHECK_FALSE(DecodeUpstream(UpstreamId(id), entry).ok());
  }
}

// Guards against a log line as long as the entry: errors of the JSON library quote the text.
TEST_CASE("the reason for which an entry is rejected is short", "[platform]") {
  const std::string long_text(1'000'000, 'x');
  auto json = UpstreamJson();
  json["state"] = long_text;
  StoreDecoder decoder;
  const auto result = DecodeAll(&decoder, {{"servers/i-1", json.dump(), Revision(3)},
                                           {"servers/i-2", "{\"" + long_text, Revision(4)}});
  REQUIRE(result.rejected.size() == 2);
  for (const auto& rejected : result.rejected) {
    CHECK_FALSE(rejected.reason.empty());
    CHECK(rejected.reason.size() <= 300);
  }
}

// Guards against one odd entry that hides the others.
TEST_CASE("odd entries leave the other upstreams in the list", "[platform]") {
  const auto sound = UpstreamJson().dump();
  auto json = UpstreamJson();
  json["address"] = "10.0.0.1:65536";
  StoreDecoder decoder;
  const auto result = DecodeAll(&decoder, {{"servers/i-1", sound, Revision(3)},
                                           {"servers/i-2", json.dump(), Revision(4)},
                                           {"servers/i-3", std::string(500'000, '['), Revision(5)},
                                           {"servers/i-4", R"({"coldMs":1e999})", Revision(6)},
                                           {"servers/", sound, Revision(7)},
                                           {"servers/i-5", sound, Revision(8)}});
  REQUIRE(result.state->upstreams.size() == 2);
  CHECK(result.state->upstreams[0].id == UpstreamId("i-1"));
  CHECK(result.state->upstreams[1].id == UpstreamId("i-5"));
  CHECK(result.rejected.size() == 4);
}

// Guards against input that ends the process. Corrupted text must be rejected or decoded
// completely.
TEST_CASE("decoding corrupted text does not crash", "[platform]") {
  Random random(20261204);
  const std::string configuration = ConfigurationJson().dump();
  const std::string upstream = UpstreamJson().dump();
  for (int i = 0; i < 5000; ++i) {
    auto text = i % 2 == 0 ? configuration : upstream;
    for (std::uint64_t change = 0; change <= random.UniformBelow(4); ++change) {
      text[random.UniformBelow(text.size())] = static_cast<char>(random.UniformBelow(256));
    }
    text.resize(random.UniformBelow(8) == 0 ? random.UniformBelow(text.size()) : text.size());
    std::set<std::string> kinds;
    (void)DecodeConfiguration(text, &kinds);
    (void)DecodeUpstream(UpstreamId("i"), text);
    (void)ParseNodeSettings(text);
  }
}

TEST_CASE("an invalid or older configuration leaves the previous one in force",
          "[platform][config-in-force]") {
  StoreDecoder decoder;
  const auto good = ConfigurationJson().dump();
  auto older = ConfigurationJson();
  older["version"] = "0000000a";
  auto result = DecodeAll(&decoder, {{kConfigurationKey, good, Revision(5)}});
  REQUIRE(result.state->routes != nullptr);
  result = DecodeAll(&decoder, {{kConfigurationKey, "{", Revision(6)}});
  CHECK(result.rejected.size() == 1);
  CHECK(result.state->routes->version() == 0x1c);
  result = DecodeAll(&decoder, {{kConfigurationKey, older.dump(), Revision(7)}});
  CHECK(result.rejected.size() == 1);
  CHECK(result.state->routes->version() == 0x1c);
}

TEST_CASE("data centres out of service and upstreams are decoded into the state", "[platform]") {
  StoreDecoder decoder;
  const auto result = DecodeAll(&decoder, {{"op/evacuate/a", "1", Revision(2)},
                                           {"servers/i-1", UpstreamJson().dump(), Revision(3)},
                                           {"servers/i-2", "\xff", Revision(4)}});
  CHECK(result.state->data_centres_out.count(DataCentre("a")) == 1);
  REQUIRE(result.state->upstreams.size() == 1);
  CHECK(result.state->upstreams[0].id == UpstreamId("i-1"));
  REQUIRE(result.rejected.size() == 1);
  CHECK(result.rejected[0].key == "servers/i-2");
}

// Guards against cached entries that outlive their upstream.
TEST_CASE("changed upstreams are decoded again and removed ones are dropped", "[platform]") {
  StoreDecoder decoder;
  auto changed = UpstreamJson();
  const PublishedItem first{"servers/i-1", changed.dump(), Revision(3)};
  const PublishedItem second{"servers/i-2", changed.dump(), Revision(4)};
  REQUIRE(DecodeAll(&decoder, {first, second}).state->upstreams.size() == 2);
  changed["maxConcurrency"] = 77;
  const PublishedItem later{"servers/i-2", changed.dump(), Revision(6)};
  auto state = DecodeAll(&decoder, {first, later}).state;
  REQUIRE(state->upstreams.size() == 2);
  CHECK(state->upstreams[0].slots != 77);
  CHECK(state->upstreams[1].slots == 77);
  state = DecodeAll(&decoder, {later}).state;
  REQUIRE(state->upstreams.size() == 1);
  CHECK(state->upstreams[0].id == UpstreamId("i-2"));
  // Listed again at its earlier revision.
  CHECK(DecodeAll(&decoder, {first, later}).state->upstreams.size() == 2);
}

TEST_CASE("the error for incomplete settings names the missing field", "[platform]") {
  const auto settings = ParseNodeSettings(R"({"nodeName": "n", "ip": "10.0.0.1", "zone": "a"})");
  REQUIRE_FALSE(settings.ok());
  CHECK(std::string(settings.status().message()).find("listenAddrs") != std::string::npos);
}

}  // namespace
}  // namespace primroseweir::platform
