#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "configuration_service.h"
#include "primroseweir/base/error.h"
#include "primroseweir/base/event_log.h"
#include "primroseweir/configuration/configuration_controller.h"
#include "primroseweir/configuration/platform_client.h"
#include "primroseweir/configuration/watch_controller.h"
#include "support/loopback.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Timeout of a test that would otherwise hang. No check depends on how long before it an event
// occurs.
constexpr Duration kTestTimeout = seconds(60);

std::string TextWithService(const std::string& service) {
  return "{\"services\":[{\"name\":\"" + service + "\"}]}";
}

bool Eventually(const std::function<bool()>& condition) {
  const Instant end = MonotonicNow() + kTestTimeout;
  while (!condition()) {
    if (MonotonicNow() > end) return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

// A stand-in for the configuration service with two read addresses.
struct PlatformService {
  PlatformService() {
    const SocketAddress address = RandomLoopback();
    REQUIRE(service.Start({address, address}, address).ok());
  }
  const std::vector<SocketAddress>& addresses() const { return service.read_addresses(); }
  // Sends a request such as "/down" or "/freeze?who=ADDRESS" to the handler of the control port.
  void Control(const std::string& path) {
    HttpServiceRequest request;
    request.method = "POST";
    request.path = path.substr(0, path.find('?'));
    if (path.find('=') != std::string::npos) request.query["who"] = path.substr(path.find('=') + 1);
    REQUIRE(service.Control(request).status == 200);
  }

  standin::ConfigurationService service;
};

PlatformClient MakeClient(const PlatformService& service, std::size_t first = 0) {
  return PlatformClient({service.addresses(), first});
}

std::string Read(PlatformReader* reader, const std::string& key, std::uint64_t after) {
  const auto result = reader->Read(key, Revision(after), Duration::zero(), seconds(10));
  if (!result.ok()) return absl::StatusCodeToString(result.status().code());
  if (!result->has_value()) return "unchanged";
  return std::to_string((*result)->revision.value()) + " " + (*result)->text;
}

TEST_CASE("reads return values with their revisions") {
  PlatformService platform;
  PlatformClient client = MakeClient(platform);
  CHECK(Read(&client, "text", 0) == "NOT_FOUND");
  platform.service.values().Set("text", "one");
  platform.service.values().Set("declarations", "two");
  CHECK(Read(&client, "text", 0) == "1 one");
  CHECK(Read(&client, "declarations", 0) == "2 two");
  CHECK(Read(&client, "text", 1) == "unchanged");
}

TEST_CASE("a long poll returns when the value changes") {
  PlatformService platform;
  platform.service.values().Set("text", "one");
  PlatformClient client = MakeClient(platform);
  std::atomic<bool> has_returned{false};
  std::thread reader([&] {
    const auto result = client.Read("text", Revision(1), kTestTimeout, 2 * kTestTimeout);
    CHECK(result.ok());
    CHECK((*result)->text == "two");
    has_returned = true;
  });
  CHECK(Eventually([&] { return platform.service.values().Count().waiting == 1; }));
  CHECK_FALSE(has_returned);
  platform.service.values().Set("text", "two");
  reader.join();
}

// Guards against a process that cannot stop while a long poll is pending.
TEST_CASE("a pending long poll returns when it is cancelled") {
  PlatformService platform;
  platform.service.values().Set("text", "one");
  PlatformClient client = MakeClient(platform);
  absl::Status status;
  std::thread reader(
      [&] { status = client.Read("text", Revision(1), kTestTimeout, 2 * kTestTimeout).status(); });
  CHECK(Eventually([&] { return platform.service.values().Count().waiting == 1; }));
  const Instant start = MonotonicNow();
  client.Cancel();
  reader.join();
  CHECK(status.code() == absl::StatusCode::kCancelled);
  CHECK(MonotonicNow() - start < kTestTimeout / 2);
}

TEST_CASE("a value of 1 MB is read completely") {
  PlatformService platform;
  const std::string text(1 << 20, 'x');
  platform.service.values().Set("text", text);
  PlatformClient client = MakeClient(platform);
  CHECK(Read(&client, "text", 0) == "1 " + text);
}

// Guards against errors without the address of the service, which operators need.
TEST_CASE("read errors contain the step and the peer") {
  PlatformService platform;
  PlatformClient client = MakeClient(platform);
  platform.service.values().Set("text", "one");
  CHECK(Read(&client, "text", 0) == "1 one");
  platform.Control("/down");
  const auto down = client.Read("text", Revision(), Duration::zero(), seconds(10));
  CHECK(down.status().code() == absl::StatusCode::kUnavailable);
  CHECK(OriginOf(down.status()).step == "read configuration");
  CHECK(OriginOf(down.status()).peer == platform.addresses()[0].ToString());
  platform.Control("/up");
  CHECK(Read(&client, "text", 0) == "1 one");
}

TEST_CASE("a read without a response fails at its timeout") {
  PlatformService platform;
  platform.service.values().Set("text", "one");
  PlatformClient client = MakeClient(platform);
  // The long poll of 50 s is far longer than the timeout of 100 ms.
  const auto result = client.Read("text", Revision(1), seconds(50), milliseconds(100));
  CHECK(result.status().code() == absl::StatusCode::kDeadlineExceeded);
  CHECK(Read(&client, "text", 0) == "1 one");
  platform.Control("/down");
}

// An instance with a WatchController that reads from the stand-in service.
struct Instance {
  Instance(const PlatformService& service, std::uint64_t seats, std::size_t first = 0)
      : controller(&events),
        watch_controller(
            Options(seats),
            [&service, first] {
              return std::make_unique<PlatformClient>(
                  PlatformClient::Options{service.addresses(), first});
            },
            &controller, &events) {}

  static WatchController::Options Options(std::uint64_t seats) {
    WatchController::Options options;
    options.policy.data_centre = DataCentre("krems");
    options.policy.seat_count = seats;
    options.long_poll_wait = milliseconds(200);
    options.decision_interval = milliseconds(10);
    return options;
  }

  bool HasService(const std::string& service) const {
    const auto snapshot = controller.Current();
    return !snapshot->services.empty() && snapshot->services[0].name.value() == service;
  }

  EventLog events{"test"};
  ConfigurationController controller;
  WatchController watch_controller;
};

constexpr std::uint64_t kSmallFleet = 34;
// Large enough that an instance that sees no other live seat may not watch.
constexpr std::uint64_t kLargeFleet = 400;

TEST_CASE("a watching instance adopts each change", "[config-in-force]") {
  PlatformService platform;
  Instance instance(platform, kSmallFleet);
  platform.service.values().Set("text", TextWithService("a"));
  CHECK(Eventually([&] { return instance.HasService("a"); }));
  platform.service.values().Set("text", TextWithService("b"));
  CHECK(Eventually([&] { return instance.HasService("b"); }));
}

TEST_CASE("a watching instance reads the parts that the list names", "[config-in-force]") {
  PlatformService platform;
  platform.service.values().Set("instances", R"({"parts":["melk"]})");
  platform.service.values().Set(
      "instances/melk",
      R"({"upstreams":[{"id":"u","service":"a","data_centre":"melk","address":"127.0.0.1:7",)"
      R"("slots":1,"connections":1,"state":"live"}]})");
  Instance instance(platform, kSmallFleet);
  CHECK(Eventually([&] { return instance.controller.Current()->upstreams.size() == 1; }));
}

TEST_CASE("an instance that may not watch adopts values by polling", "[config-in-force]") {
  PlatformService platform;
  platform.service.values().Set("text", TextWithService("a"));
  Instance instance(platform, kLargeFleet);
  CHECK(Eventually([&] { return instance.HasService("a"); }));
  CHECK(platform.service.values().Count().waiting == 0);
}

// Guards against an instance that does not read again after the service recovers.
TEST_CASE("changes are adopted after an outage of the service", "[config-in-force]") {
  PlatformService platform;
  platform.service.values().Set("text", TextWithService("a"));
  Instance instance(platform, kSmallFleet);
  CHECK(Eventually([&] { return instance.HasService("a"); }));
  platform.Control("/down");
  platform.service.values().Set("text", TextWithService("b"));
  CHECK(Eventually([&] {
    for (const Event& event : instance.events.EventsAfter(0)) {
      if (event.name == "configuration_read_failed") return true;
    }
    return false;
  }));
  CHECK(instance.HasService("a"));
  platform.Control("/up");
  CHECK(Eventually([&] { return instance.HasService("b"); }));
}

// Guards against an instance that keeps using a stale address of the service although peers have a
// newer revision, and against a stale address that reverts a value.
TEST_CASE("a watching instance switches from a stale address to another one", "[config-in-force]") {
  PlatformService platform;
  platform.service.values().Set("text", TextWithService("a"));
  platform.Control("/freeze?who=" + platform.addresses()[0].ToString());
  Instance instance(platform, kSmallFleet, 0);
  CHECK(Eventually([&] { return instance.HasService("a"); }));
  // A peer offers a newer revision. After that, only the other address has the newest one.
  const std::uint64_t second = platform.service.values().Set("text", TextWithService("b"));
  instance.controller.Offer({{"text", {Revision(second), TextWithService("b")}}}, MonotonicNow());
  platform.service.values().Set("text", TextWithService("c"));
  CHECK(Eventually([&] { return instance.HasService("c"); }));
}

// Guards against reading a rejected value in a loop, which would exceed the reads that the service
// serves.
TEST_CASE("a watching instance reads a rejected value only once", "[config-in-force]") {
  PlatformService platform;
  platform.service.values().Set("text", TextWithService("a"));
  Instance instance(platform, kSmallFleet);
  CHECK(Eventually([&] { return instance.HasService("a"); }));
  platform.service.values().Set("text", "broken");
  CHECK(Eventually([&] { return !instance.controller.Rejections().empty(); }));
  const std::uint64_t before = platform.service.values().Count().reads;
  const Instant start = MonotonicNow();
  std::this_thread::sleep_for(milliseconds(500));
  const std::uint64_t reads = platform.service.values().Count().reads - before;
  // One read of each of the 3 keys per long poll that timed out, and as many again as a margin.
  const auto watches = static_cast<std::uint64_t>((MonotonicNow() - start) / milliseconds(200)) + 1;
  CHECK(reads <= 2 * 3 * watches);
  CHECK(instance.HasService("a"));
}

// Guards against a call that is dispatched, after a pause of the process, to a data centre that was
// taken out of service in the meantime.
TEST_CASE("RefreshDeclarations adopts new declarations and records the contact",
          "[config-in-force]") {
  PlatformService platform;
  platform.service.values().Set("declarations", R"({"out":[]})");
  Instance instance(platform, kLargeFleet);
  CHECK(Eventually([&] { return instance.controller.Current()->revision == Revision(1); }));
  platform.service.values().Set("declarations", R"({"out":["krems"]})");
  CHECK(instance.watch_controller.RefreshDeclarations(seconds(10)));
  CHECK(instance.controller.Current()->data_centres_out.size() == 1);
  const Instant last_contact = instance.controller.LastContact();
  CHECK(instance.watch_controller.RefreshDeclarations(seconds(10)));
  CHECK(instance.controller.LastContact() > last_contact);
}

TEST_CASE("a stale service does not confirm the current declarations", "[config-in-force]") {
  PlatformService platform;
  platform.service.values().Set("declarations", R"({"out":[]})");
  platform.Control("/freeze?who=" + platform.addresses()[0].ToString());
  platform.Control("/freeze?who=" + platform.addresses()[1].ToString());
  Instance instance(platform, kLargeFleet);
  CHECK(Eventually([&] { return instance.controller.Current()->revision == Revision(1); }));
  const Instant last_contact = Instant(MonotonicNow());
  instance.controller.Offer({{"declarations", {Revision(4), R"({"out":["krems"]})"}}},
                            last_contact);
  CHECK(instance.watch_controller.RefreshDeclarations(seconds(10)));
  CHECK(instance.controller.LastContact() == last_contact);
  CHECK(instance.controller.Current()->data_centres_out.size() == 1);
}

}  // namespace
}  // namespace primroseweir
