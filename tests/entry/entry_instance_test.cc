#include "primroseweir/entry/entry_instance.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "filters/call_fixture.h"
#include "primroseweir/membership/membership_view.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;

bool Eventually(const std::function<bool()>& condition) {
  const auto end = MonotonicNow() + std::chrono::seconds(20);
  while (MonotonicNow() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return condition();
}

EntrySettings SettingsOf(int number, const std::vector<SocketAddress>& peers) {
  EntrySettings settings;
  settings.id = InstanceId("entry-" + std::to_string(number));
  settings.data_centre = DataCentre("krems");
  settings.caller_address = RandomLoopback();
  settings.peer_address = RandomLoopback();
  settings.seat = Seat(static_cast<std::uint64_t>(number));
  settings.seats = 4;
  settings.peers = peers;
  settings.fleet_key = "test-fleet-key";
  settings.operator_token = "test-token";
  return settings;
}

// Two entry instances that know each other, with one upstream of the service ledger.
class TwoInstances {
 public:
  explicit TwoInstances(const FakeUpstream::Serve& serve) : upstream(serve) {
    first = std::make_unique<EntryInstance>(SettingsOf(0, {}));
    REQUIRE(first->Start().ok());
    second = std::make_unique<EntryInstance>(SettingsOf(1, {first->gossip()->local_address()}));
    REQUIRE(second->Start().ok());
    Configure();
    REQUIRE(Eventually([this] {
      return Addresses(*first).size() == 2 && Addresses(*second).size() == 2 &&
             second->configuration()->Current()->revision == Revision(1);
    }));
  }

  void Configure() {
    const nlohmann::json text = {{"services",
                                  {{{"name", "ledger"},
                                    {"depends_on", nlohmann::json::array()},
                                    {"calls", "not-repeatable"}}}}};
    const nlohmann::json list = {{"upstreams",
                                  {{{"id", "u1"},
                                    {"service", "ledger"},
                                    {"data_centre", "krems"},
                                    {"address", upstream.address().ToString()},
                                    {"slots", 8},
                                    {"connections", 80},
                                    {"state", "live"}}}}};
    ConfigurationValues values;
    values["text"] = {Revision(1), text.dump()};
    values["instances"] = {Revision(1), list.dump()};
    values["declarations"] = {Revision(1), R"({"out":[]})"};
    first->configuration()->Offer(values, MonotonicNow());
  }

  static nlohmann::json AddressResponse(const EntryInstance& instance) {
    const auto reply = Send(instance, CallFixture::Request("GET", "/primroseweir/addresses"));
    return nlohmann::json::parse(reply.body);
  }

  static std::vector<std::string> Addresses(const EntryInstance& instance) {
    return AddressResponse(instance)["addresses"].get<std::vector<std::string>>();
  }

  static std::string Prefix(const EntryInstance& instance) {
    return AddressResponse(instance)["call_key_prefix"].get<std::string>();
  }

  static Reply Send(const EntryInstance& instance, const RequestHead& head,
                    const std::string& body = "") {
    auto connection = ClientConnection::Open(instance.caller_address(), Soon());
    REQUIRE(connection.ok());
    return CallFixture::Send(connection->get(), head, body);
  }

  static RequestHead Booking(const std::string& key, const std::string& body) {
    auto head = CallFixture::Request("POST", "/ledger/book", body);
    head.fields.Add("Primroseweir-Call-Key", key);
    return head;
  }

  FakeUpstream upstream;
  std::unique_ptr<EntryInstance> first;
  std::unique_ptr<EntryInstance> second;
};

// Guards against address answers that leave out an instance in service or the answering one's rank.
TEST_CASE("the address answer names the instances, the answering one first") {
  TwoInstances test(RespondWithText("booked"));
  CHECK(TwoInstances::Addresses(*test.first)[0] == test.first->caller_address().ToString());
  CHECK(TwoInstances::Addresses(*test.second)[0] == test.second->caller_address().ToString());
}

// Guards against a second execution of a call that is sent again, to the same or another instance.
TEST_CASE("[at-most-once] a call with a key runs once whichever instance gets it",
          "[at-most-once]") {
  TwoInstances test(RespondWithText("booked"));
  const auto key = TwoInstances::Prefix(*test.first) + ".booking";
  for (int i = 0; i < 3; ++i) {
    for (const auto* instance : {test.second.get(), test.first.get()}) {
      const auto reply = TwoInstances::Send(*instance, TwoInstances::Booking(key, "b"), "b");
      CHECK(reply.head.status == 200);
      CHECK(reply.body == "booked");
      CHECK(reply.outcome() == "ran");
    }
  }
  CHECK(test.upstream.requests == 1);
  const auto other = TwoInstances::Send(*test.first, TwoInstances::Booking(key, "c"), "c");
  CHECK(other.head.status == 400);
  CHECK(test.upstream.requests == 1);
}

// Guards against two runs when the call is sent again while the first one runs.
TEST_CASE("[at-most-once] a key that runs is waited for", "[at-most-once]") {
  std::promise<void> released;
  auto release = released.get_future().share();
  TwoInstances test([release](ServerConnection* connection) {
    ReadRequestBody(connection);
    release.wait();
    connection->Respond(ResponseHead(), "booked").IgnoreError();
  });
  const auto key = TwoInstances::Prefix(*test.first) + ".booking";
  std::vector<std::future<Reply>> callers;
  for (int i = 0; i < 6; ++i) {
    const auto* instance = i % 2 == 0 ? test.first.get() : test.second.get();
    callers.push_back(std::async(std::launch::async, [instance, key] {
      return TwoInstances::Send(*instance, TwoInstances::Booking(key, "b"), "b");
    }));
  }
  REQUIRE(Eventually([&] { return test.upstream.requests == 1; }));
  released.set_value();
  for (auto& caller : callers) {
    CHECK(caller.get().body == "booked");
  }
  CHECK(test.upstream.requests == 1);
}

// Guards against a key that runs elsewhere after the incarnation that may have run it is gone.
TEST_CASE("[at-most-once] a key whose issuer is gone never starts", "[at-most-once]") {
  TwoInstances test(RespondWithText("booked"));
  const auto key = TwoInstances::Prefix(*test.second) + ".booking";
  test.second.reset();
  const auto reply = TwoInstances::Send(*test.first, TwoInstances::Booking(key, "b"), "b");
  CHECK(reply.outcome() == "unknown");
  auto fresh = TwoInstances::Booking(key, "b");
  fresh.fields.Add("Primroseweir-Attempt", "1");
  CHECK(TwoInstances::Send(*test.first, fresh, "b").outcome() == "not-run");
  const auto forged = TwoInstances::Prefix(*test.first) + "0.booking";
  CHECK(TwoInstances::Send(*test.first, TwoInstances::Booking(forged, "b"), "b").outcome() ==
        "unknown");
  CHECK(test.upstream.requests == 0);
}

// Guards against a stop that cuts an answer in flight, or that goes on being named to callers.
TEST_CASE("[graceful-stop] a leaving instance is not named and finishes its calls",
          "[graceful-stop]") {
  std::promise<void> released;
  auto release = released.get_future().share();
  const std::string half(100'000, 'x');
  TwoInstances test([&](ServerConnection* connection) {
    ResponseHead head;
    head.body = {BodyKind::kLength, 2 * half.size()};
    connection->Begin(head);
    if (connection->WriteBody(half, Soon()).ok()) {
      release.wait();
      connection->End(half, Soon()).IgnoreError();
    }
  });
  auto download = std::async(std::launch::async, [&test] {
    return TwoInstances::Send(*test.first, CallFixture::Request("GET", "/ledger/chart"));
  });
  REQUIRE(Eventually([&] { return test.upstream.requests == 1; }));
  std::thread stop([&test] { test.first->Stop(milliseconds(300)); });
  const auto own = test.first->caller_address().ToString();
  CHECK(Eventually([&] {
    const auto addresses = TwoInstances::Addresses(*test.second);
    return addresses.size() == 1 && addresses[0] != own;
  }));
  CHECK(Eventually(
      [&] { return !ClientConnection::Open(test.first->caller_address(), Soon()).ok(); }));
  CHECK(download.wait_for(milliseconds(0)) == std::future_status::timeout);
  released.set_value();
  const auto reply = download.get();
  CHECK(reply.status.ok());
  CHECK((reply.body == half + half));
  stop.join();
}

}  // namespace
}  // namespace primroseweir
