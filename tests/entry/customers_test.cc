#include <catch2/catch.hpp>
#include <mutex>
#include <string>
#include <vector>

#include "entry/two_instances.h"

namespace primroseweir {
namespace {

using nlohmann::json;

json OneCustomer(const std::string& name, const std::string& key) {
  return json::array({{{"name", name}, {"keys", {key}}}});
}

// Two instances with an upstream that records the customer of each call and whether it saw a key.
struct CustomerSite {
  explicit CustomerSite(const json& customers)
      : instances(
            [this](ServerConnection* connection) {
              const auto& fields = connection->request()->fields;
              {
                const std::lock_guard<std::mutex> lock(mutex);
                customers_seen.push_back(fields.Get("Primroseweir-Customer"));
                has_seen_key = has_seen_key || fields.Find("Authorization").has_value();
              }
              RespondWithText("booked")(connection);
            },
            customers) {}

  static RequestHead Booking(const std::string& call_key, const std::string& key) {
    auto head = TwoInstances::BookingRequest(call_key, "b");
    head.fields.Add("Authorization", "Token " + key);
    head.fields.Add("Primroseweir-Customer", "forged");
    return head;
  }

  std::mutex mutex;
  std::vector<std::string> customers_seen;
  bool has_seen_key = false;
  TwoInstances instances;
};

// Guards against a forwarded call that its issuer can't authenticate, or that carries the key or a
// forged name on to the upstream.
TEST_CASE("a call that is forwarded to the issuer of its call key is authenticated there") {
  CustomerSite site(json::array(
      {{{"name", "desk"}, {"keys", {"key-desk"}}}, {{"name", "night"}, {"keys", {"key-night"}}}}));
  auto& instances = site.instances;
  const auto call_key = TwoInstances::CallKeyPrefix(*instances.first) + ".booking";
  const auto denied =
      TwoInstances::Send(*instances.second, CustomerSite::Booking(call_key, "key-x"), "b");
  CHECK(denied.head.status == 401);
  CHECK(denied.outcome() == "not-run");
  for (const auto* instance : {instances.second.get(), instances.first.get()}) {
    const auto reply =
        TwoInstances::Send(*instance, CustomerSite::Booking(call_key, "key-desk"), "b");
    CHECK(reply.head.status == 200);
    CHECK(reply.body == "booked");
  }
  CHECK(site.customers_seen == std::vector<std::string>{"desk"});
  CHECK_FALSE(site.has_seen_key);
  // Another customer must not get the stored response.
  const auto other =
      TwoInstances::Send(*instances.second, CustomerSite::Booking(call_key, "key-night"), "b");
  CHECK(other.head.status == 400);
  CHECK(other.body.find("booked") == std::string::npos);
  CHECK(instances.upstream.requests == 1);
}

// Guards against customers that only the instance which read the text knows, and against a
// withdrawn key that another instance still accepts.
TEST_CASE("[config-in-force] customers and withdrawn keys reach all instances",
          "[config-in-force]") {
  CustomerSite site(OneCustomer("desk", "key-1"));
  auto& instances = site.instances;
  const auto status_at = [&](const EntryInstance& instance, const std::string& key) {
    auto head = CallFixture::Request("GET", "/ledger/x");
    head.fields.Add("Authorization", "Token " + key);
    return TwoInstances::Send(instance, head).head.status;
  };
  CHECK(status_at(*instances.second, "key-1") == 200);
  instances.Configure(2, OneCustomer("desk", "key-2"));
  for (const auto* instance : {instances.first.get(), instances.second.get()}) {
    CHECK(Eventually([&] { return status_at(*instance, "key-1") == 401; }));
    CHECK(status_at(*instance, "key-2") == 200);
  }
  for (auto* instance : {instances.first.get(), instances.second.get()}) {
    for (const auto& event : instance->events()->EventsAfter(0)) {
      CHECK(FormatEvent(event).find("key-1") == std::string::npos);
    }
  }
}

}  // namespace
}  // namespace primroseweir
