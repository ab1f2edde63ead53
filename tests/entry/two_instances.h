#ifndef PRIMROSEWEIR_TESTS_ENTRY_TWO_INSTANCES_H_
#define PRIMROSEWEIR_TESTS_ENTRY_TWO_INSTANCES_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "filters/call_fixture.h"
#include "primroseweir/entry/entry_instance.h"
#include "primroseweir/membership/membership_view.h"

namespace primroseweir {

inline bool Eventually(const std::function<bool()>& condition) {
  const auto deadline = MonotonicNow() + std::chrono::seconds(20);
  while (MonotonicNow() < deadline) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return condition();
}

inline EntrySettings SettingsOf(int number, const std::vector<SocketAddress>& peers) {
  EntrySettings settings;
  settings.id = InstanceId("entry-" + std::to_string(number));
  settings.data_centre = DataCentre("krems");
  settings.caller_address = RandomLoopback();
  settings.peer_address = RandomLoopback();
  settings.seat = Seat(static_cast<std::uint64_t>(number));
  settings.seat_count = 4;
  settings.peers = peers;
  settings.fleet_key = "test-fleet-key";
  settings.operator_token = "test-token";
  return settings;
}

// Two entry instances that are peers, with one upstream of the service ledger.
class TwoInstances {
 public:
  // `customers` is the value of that field of the text, which is absent if it is null.
  explicit TwoInstances(const FakeUpstream::Serve& serve, const nlohmann::json& customers = nullptr)
      : upstream(serve) {
    first = std::make_unique<EntryInstance>(SettingsOf(0, {}));
    REQUIRE(first->Start().ok());
    second = std::make_unique<EntryInstance>(SettingsOf(1, {first->gossip()->local_address()}));
    REQUIRE(second->Start().ok());
    Configure(1, customers);
    REQUIRE(Eventually([this] {
      return ListedAddresses(*first).size() == 2 && ListedAddresses(*second).size() == 2 &&
             second->configuration()->Current()->revision == Revision(1);
    }));
  }

  void Configure(std::uint64_t revision, const nlohmann::json& customers) {
    nlohmann::json text = {{"services",
                            {{{"name", "ledger"},
                              {"depends_on", nlohmann::json::array()},
                              {"calls", "not-repeatable"}}}}};
    if (!customers.is_null()) text["customers"] = customers;
    const nlohmann::json list = {{"upstreams",
                                  {{{"id", "u1"},
                                    {"service", "ledger"},
                                    {"data_centre", "krems"},
                                    {"address", upstream.address().ToString()},
                                    {"slots", 8},
                                    {"connections", 80},
                                    {"state", "live"}}}}};
    ConfigurationValues values;
    values["text"] = {Revision(revision), text.dump()};
    values["instances"] = {Revision(1), list.dump()};
    values["declarations"] = {Revision(1), R"({"out":[]})"};
    first->configuration()->Offer(values, MonotonicNow());
  }

  static nlohmann::json FetchAddresses(const EntryInstance& instance) {
    const auto reply = Send(instance, CallFixture::Request("GET", "/primroseweir/addresses"));
    return nlohmann::json::parse(reply.body);
  }

  static std::vector<std::string> ListedAddresses(const EntryInstance& instance) {
    return FetchAddresses(instance)["addresses"].get<std::vector<std::string>>();
  }

  static std::string CallKeyPrefix(const EntryInstance& instance) {
    return FetchAddresses(instance)["call_key_prefix"].get<std::string>();
  }

  static Reply Send(const EntryInstance& instance, const RequestHead& head,
                    const std::string& body = "") {
    auto connection = ClientConnection::Open(instance.caller_address(), TestDeadline());
    REQUIRE(connection.ok());
    return CallFixture::Send(connection->get(), head, body);
  }

  static RequestHead BookingRequest(const std::string& key, const std::string& body) {
    auto head = CallFixture::Request("POST", "/ledger/book", body);
    head.fields.Add("Primroseweir-Call-Key", key);
    return head;
  }

  FakeUpstream upstream;
  std::unique_ptr<EntryInstance> first;
  std::unique_ptr<EntryInstance> second;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_ENTRY_TWO_INSTANCES_H_
