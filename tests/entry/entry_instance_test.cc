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

#include "entry/two_instances.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;

// Guards against address responses that omit an instance in service or do not list the responding
// instance first.
TEST_CASE("the address response lists the instances, the responding one first") {
  TwoInstances test(RespondWithText("booked"));
  CHECK(TwoInstances::ListedAddresses(*test.first)[0] == test.first->caller_address().ToString());
  CHECK(TwoInstances::ListedAddresses(*test.second)[0] == test.second->caller_address().ToString());
}

// Guards against a second execution of a call that is repeated at the same or another instance.
TEST_CASE("[at-most-once] a repeated call with a call key is executed once, at either instance",
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

// Guards against a call that is executed through another instance although the incarnation that
// issued its key, and may have executed it already, has ended.
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
