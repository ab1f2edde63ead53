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
  const auto deadline = MonotonicNow() + std::chrono::seconds(20);
  while (MonotonicNow() < deadline) {
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
  settings.seat_count = 4;
  settings.peers = peers;
  settings.fleet_key = "test-fleet-key";
  settings.operator_token = "test-token";
  return settings;
}

// Two entry instances that are peers, with one upstream of the service ledger.
class TwoInstances {
 public:
  explicit TwoInstances(const FakeUpstream::Serve& serve) : upstream(serve) {
    first = std::make_unique<EntryInstance>(SettingsOf(0, {}));
    REQUIRE(first->Start().ok());
    second = std::make_unique<EntryInstance>(SettingsOf(1, {first->gossip()->local_address()}));
    REQUIRE(second->Start().ok());
    Configure();
    REQUIRE(Eventually([this] {
      return ListedAddresses(*first).size() == 2 && ListedAddresses(*second).size() == 2 &&
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

// Guards against address responses that omit an instance in service or do not list the responding
// instance first.
TEST_CASE("the address response lists the instances, the responding one first") {
  TwoInstances test(RespondWithText("booked"));
  CHECK(TwoInstances::ListedAddresses(*test.first)[0] == test.first->caller_address().ToString());
  CHECK(TwoInstances::ListedAddresses(*test.second)[0] == test.second->caller_address().ToString());
}

// Guards against a second execution of a call that is repeated at the same or another instance.
TEST_CASE("[at-most-once] a repeated call with a call key executes once, at either instance",
          "[at-most-once]") {
  TwoInstances test(RespondWithText("booked"));
  const auto key = TwoInstances::CallKeyPrefix(*test.first) + ".booking";
  for (int i = 0; i < 3; ++i) {
    for (const auto* instance : {test.second.get(), test.first.get()}) {
      const auto reply = TwoInstances::Send(*instance, TwoInstances::BookingRequest(key, "b"), "b");
      CHECK(reply.head.status == 200);
      CHECK(reply.body == "booked");
      CHECK(reply.outcome() == "ran");
    }
  }
  CHECK(test.upstream.requests == 1);
  const auto other_body_reply =
      TwoInstances::Send(*test.first, TwoInstances::BookingRequest(key, "c"), "c");
  CHECK(other_body_reply.head.status == 400);
  CHECK(test.upstream.requests == 1);
}

// Guards against a second execution when a call is repeated while the first one is in progress.
TEST_CASE("[at-most-once] a repeated call waits for the call in progress with the same key",
          "[at-most-once]") {
  std::promise<void> release_promise;
  auto release_signal = release_promise.get_future().share();
  TwoInstances test([release_signal](ServerConnection* connection) {
    ReadRequestBody(connection);
    release_signal.wait();
    connection->Respond(ResponseHead(), "booked").IgnoreError();
  });
  const auto key = TwoInstances::CallKeyPrefix(*test.first) + ".booking";
  std::vector<std::future<Reply>> callers;
  for (int i = 0; i < 6; ++i) {
    const auto* instance = i % 2 == 0 ? test.first.get() : test.second.get();
    callers.push_back(std::async(std::launch::async, [instance, key] {
      return TwoInstances::Send(*instance, TwoInstances::BookingRequest(key, "b"), "b");
    }));
  }
  REQUIRE(Eventually([&] { return test.upstream.requests == 1; }));
  release_promise.set_value();
  for (auto& caller : callers) {
    CHECK(caller.get().body == "booked");
  }
  CHECK(test.upstream.requests == 1);
}

// Guards against a call that executes at another instance after the incarnation that issued its
// key, and may have executed it, is gone.
TEST_CASE("[at-most-once] a call whose key issuer is gone is never executed", "[at-most-once]") {
  TwoInstances test(RespondWithText("booked"));
  const auto key = TwoInstances::CallKeyPrefix(*test.second) + ".booking";
  test.second.reset();
  const auto reply = TwoInstances::Send(*test.first, TwoInstances::BookingRequest(key, "b"), "b");
  CHECK(reply.outcome() == "unknown");
  auto first_attempt = TwoInstances::BookingRequest(key, "b");
  first_attempt.fields.Add("Primroseweir-Attempt", "1");
  CHECK(TwoInstances::Send(*test.first, first_attempt, "b").outcome() == "not-run");
  const auto forged_key = TwoInstances::CallKeyPrefix(*test.first) + "0.booking";
  CHECK(TwoInstances::Send(*test.first, TwoInstances::BookingRequest(forged_key, "b"), "b")
            .outcome() == "unknown");
  CHECK(test.upstream.requests == 0);
}

// Guards against a stop that truncates a response in progress, and against a leaving instance whose
// address is still returned to callers.
TEST_CASE("[graceful-stop] a leaving instance is not listed and completes its calls",
          "[graceful-stop]") {
  std::promise<void> release_promise;
  auto release_signal = release_promise.get_future().share();
  const std::string half_body(100'000, 'x');
  TwoInstances test([&](ServerConnection* connection) {
    ResponseHead head;
    head.body = {BodyKind::kLength, 2 * half_body.size()};
    connection->Begin(head);
    if (connection->WriteBody(half_body, TestDeadline()).ok()) {
      release_signal.wait();
      connection->End(half_body, TestDeadline()).IgnoreError();
    }
  });
  auto download = std::async(std::launch::async, [&test] {
    return TwoInstances::Send(*test.first, CallFixture::Request("GET", "/ledger/chart"));
  });
  REQUIRE(Eventually([&] { return test.upstream.requests == 1; }));
  std::thread stop_thread([&test] { test.first->Stop(milliseconds(300)); });
  const auto first_address = test.first->caller_address().ToString();
  CHECK(Eventually([&] {
    const auto addresses = TwoInstances::ListedAddresses(*test.second);
    return addresses.size() == 1 && addresses[0] != first_address;
  }));
  CHECK(Eventually(
      [&] { return !ClientConnection::Open(test.first->caller_address(), TestDeadline()).ok(); }));
  CHECK(download.wait_for(milliseconds(0)) == std::future_status::timeout);
  release_promise.set_value();
  const auto reply = download.get();
  CHECK(reply.status.ok());
  CHECK((reply.body == half_body + half_body));
  stop_thread.join();
}

}  // namespace
}  // namespace primroseweir
