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

// Bounds a test that would otherwise hang; no verdict depends on how soon an event comes before it.
constexpr Duration kCallTimeout = seconds(60);

std::string TextNaming(const std::string& service) {
  return "{\"services\":[{\"name\":\"" + service + "\"}]}";
}

bool Eventually(const std::function<bool()>& condition) {
  const Instant end = MonotonicNow() + kCallTimeout;
  while (!condition()) {
    if (MonotonicNow() > end) return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

// A stand-in configuration service with two read addresses.
struct Service {
  Service() {
    const SocketAddress address = RandomLoopback();
    REQUIRE(service.Start({address, address}, address).ok());
  }
  const std::vector<SocketAddress>& addresses() const { return service.read_addresses(); }
  // Down and up act through the control port, as tests of other processes do.
  void Control(const std::string& path) {
    HttpServiceRequest request;
    request.method = "POST";
    request.path = path.substr(0, path.find('?'));
    if (path.find('=') != std::string::npos) request.query["who"] = path.substr(path.find('=') + 1);
    REQUIRE(service.Control(request).status == 200);
  }

  standin::ConfigurationService service;
};

PlatformClient Client(const Service& service, std::size_t first = 0) {
  return PlatformClient({service.addresses(), first});
}

std::string Read(PlatformReader* reader, const std::string& key, std::uint64_t after) {
  const auto result = reader->Read(key, Revision(after), Duration::zero(), seconds(10));
  if (!result.ok()) return absl::StatusCodeToString(result.status().code());
  if (!result->has_value()) return "unchanged";
  return std::to_string((*result)->revision.value()) + " " + (*result)->text;
}

TEST_CASE("values are read with their revisions") {
  Service platform;
  PlatformClient client = Client(platform);
  CHECK(Read(&client, "text", 0) == "NOT_FOUND");
  platform.service.values().Set("text", "one");
  platform.service.values().Set("declarations", "two");
  CHECK(Read(&client, "text", 0) == "1 one");
  CHECK(Read(&client, "declarations", 0) == "2 two");
  CHECK(Read(&client, "text", 1) == "unchanged");
}

TEST_CASE("a waiting read ends when the value changes") {
  Service platform;
  platform.service.values().Set("text", "one");
  PlatformClient client = Client(platform);
  std::atomic<bool> ended{false};
  std::thread reader([&] {
    const auto result = client.Read("text", Revision(1), kCallTimeout, 2 * kCallTimeout);
    CHECK(result.ok());
    CHECK((*result)->text == "two");
    ended = true;
  });
  CHECK(Eventually([&] { return platform.service.values().Count().waiting == 1; }));
  CHECK_FALSE(ended);
  platform.service.values().Set("text", "two");
  reader.join();
}

// Guards against a process that can't stop while a long poll waits.
TEST_CASE("a waiting read ends when it is cancelled") {
  Service platform;
  platform.service.values().Set("text", "one");
  PlatformClient client = Client(platform);
  absl::Status status;
  std::thread reader(
      [&] { status = client.Read("text", Revision(1), kCallTimeout, 2 * kCallTimeout).status(); });
  CHECK(Eventually([&] { return platform.service.values().Count().waiting == 1; }));
  const Instant start = MonotonicNow();
  client.Cancel();
  reader.join();
  CHECK(status.code() == absl::StatusCode::kCancelled);
  CHECK(MonotonicNow() - start < kCallTimeout / 2);
}

TEST_CASE("a value of 1 MB arrives whole") {
  Service platform;
  const std::string text(1 << 20, 'x');
  platform.service.values().Set("text", text);
  PlatformClient client = Client(platform);
  CHECK(Read(&client, "text", 0) == "1 " + text);
}

// Guards against an error without the address that an operator has to look at.
TEST_CASE("errors of reads carry step and peer") {
  Service platform;
  PlatformClient client = Client(platform);
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

TEST_CASE("a read that gets no answer ends at its limit") {
  Service platform;
  platform.service.values().Set("text", "one");
  PlatformClient client = Client(platform);
  // The service waits far longer than the reader's limit.
  const auto result = client.Read("text", Revision(1), seconds(50), milliseconds(100));
  CHECK(result.status().code() == absl::StatusCode::kDeadlineExceeded);
  CHECK(Read(&client, "text", 0) == "1 one");
  platform.Control("/down");
}

// An instance that brings values from the service to its controller.
struct Instance {
  Instance(const Service& service, std::uint64_t seats, std::size_t first = 0)
      : controller(&events),
        watch(
            Options(seats),
            [&service, first] {
              return std::make_unique<PlatformClient>(
                  PlatformClient::Options{service.addresses(), first});
            },
            &controller, &events) {}

  static WatchController::Options Options(std::uint64_t seats) {
    WatchController::Options options;
    options.policy.data_centre = DataCentre("krems");
    options.policy.seats = seats;
    options.watch = milliseconds(200);
    options.period = milliseconds(10);
    return options;
  }

  bool Serves(const std::string& service) const {
    const auto snapshot = controller.Current();
    return !snapshot->services.empty() && snapshot->services[0].name.value() == service;
  }

  EventLog events{"test"};
  ConfigurationController controller;
  WatchController watch;
};

constexpr std::uint64_t kSmallFleet = 34;
// So many seats that an instance that is alone must not watch.
constexpr std::uint64_t kLargeFleet = 400;

TEST_CASE("a watcher brings each change into force", "[config-in-force]") {
  Service platform;
  Instance instance(platform, kSmallFleet);
  platform.service.values().Set("text", TextNaming("a"));
  CHECK(Eventually([&] { return instance.Serves("a"); }));
  platform.service.values().Set("text", TextNaming("b"));
  CHECK(Eventually([&] { return instance.Serves("b"); }));
}

TEST_CASE("a watcher finds the parts that the list names", "[config-in-force]") {
  Service platform;
  platform.service.values().Set("instances", R"({"parts":["melk"]})");
  platform.service.values().Set(
      "instances/melk",
      R"({"upstreams":[{"id":"u","service":"a","data_centre":"melk","address":"127.0.0.1:7",)"
      R"("slots":1,"connections":1,"state":"live"}]})");
  Instance instance(platform, kSmallFleet);
  CHECK(Eventually([&] { return instance.controller.Current()->upstreams.size() == 1; }));
}

TEST_CASE("an instance that may not watch polls", "[config-in-force]") {
  Service platform;
  platform.service.values().Set("text", TextNaming("a"));
  Instance instance(platform, kLargeFleet);
  CHECK(Eventually([&] { return instance.Serves("a"); }));
  CHECK(platform.service.values().Count().waiting == 0);
}

// Guards against an instance that stays without configuration when the service comes back.
TEST_CASE("values come into force after the service was down", "[config-in-force]") {
  Service platform;
  platform.service.values().Set("text", TextNaming("a"));
  Instance instance(platform, kSmallFleet);
  CHECK(Eventually([&] { return instance.Serves("a"); }));
  platform.Control("/down");
  platform.service.values().Set("text", TextNaming("b"));
  CHECK(Eventually([&] {
    for (const Event& event : instance.events.EventsAfter(0)) {
      if (event.name == "configuration_read_failed") return true;
    }
    return false;
  }));
  CHECK(instance.Serves("a"));
  platform.Control("/up");
  CHECK(Eventually([&] { return instance.Serves("b"); }));
}

// Guards against an instance that stays with one stale address of the service although its peers
// know more, and against a stale address that takes a value back.
TEST_CASE("a stale address is given up for another one", "[config-in-force]") {
  Service platform;
  platform.service.values().Set("text", TextNaming("a"));
  platform.Control("/freeze?who=" + platform.addresses()[0].ToString());
  Instance instance(platform, kSmallFleet, 0);
  CHECK(Eventually([&] { return instance.Serves("a"); }));
  // Peers bring a newer revision; then only the other address has the newest one.
  const std::uint64_t second = platform.service.values().Set("text", TextNaming("b"));
  instance.controller.Offer({{"text", {Revision(second), TextNaming("b")}}}, MonotonicNow());
  platform.service.values().Set("text", TextNaming("c"));
  CHECK(Eventually([&] { return instance.Serves("c"); }));
}

// Guards against a rejected value that is read in a loop, which would exceed the service's budget.
TEST_CASE("a rejected value is read once by a watcher", "[config-in-force]") {
  Service platform;
  platform.service.values().Set("text", TextNaming("a"));
  Instance instance(platform, kSmallFleet);
  CHECK(Eventually([&] { return instance.Serves("a"); }));
  platform.service.values().Set("text", "broken");
  CHECK(Eventually([&] { return !instance.controller.Rejections().empty(); }));
  const std::uint64_t before = platform.service.values().Count().reads;
  const Instant start = MonotonicNow();
  std::this_thread::sleep_for(milliseconds(500));
  const std::uint64_t reads = platform.service.values().Count().reads - before;
  // One read a key for each watch that ran out, with as many again as margin.
  const auto watches = static_cast<std::uint64_t>((MonotonicNow() - start) / milliseconds(200)) + 1;
  CHECK(reads <= 2 * 3 * watches);
  CHECK(instance.Serves("a"));
}

// Guards against a dispatch after a pause that goes to a data centre that was taken out meanwhile.
TEST_CASE("declarations can be refreshed at once", "[config-in-force]") {
  Service platform;
  platform.service.values().Set("declarations", R"({"out":[]})");
  Instance instance(platform, kLargeFleet);
  CHECK(Eventually([&] { return instance.controller.Current()->revision == Revision(1); }));
  platform.service.values().Set("declarations", R"({"out":["krems"]})");
  CHECK(instance.watch.RefreshDeclarations(seconds(10)));
  CHECK(instance.controller.Current()->out.size() == 1);
  const Instant heard = instance.controller.LastContact();
  CHECK(instance.watch.RefreshDeclarations(seconds(10)));
  CHECK(instance.controller.LastContact() > heard);
}

TEST_CASE("a stale service does not confirm the present declarations", "[config-in-force]") {
  Service platform;
  platform.service.values().Set("declarations", R"({"out":[]})");
  platform.Control("/freeze?who=" + platform.addresses()[0].ToString());
  platform.Control("/freeze?who=" + platform.addresses()[1].ToString());
  Instance instance(platform, kLargeFleet);
  CHECK(Eventually([&] { return instance.controller.Current()->revision == Revision(1); }));
  const Instant heard = Instant(MonotonicNow());
  instance.controller.Offer({{"declarations", {Revision(4), R"({"out":["krems"]})"}}}, heard);
  CHECK(instance.watch.RefreshDeclarations(seconds(10)));
  CHECK(instance.controller.LastContact() == heard);
  CHECK(instance.controller.Current()->out.size() == 1);
}

}  // namespace
}  // namespace primroseweir
