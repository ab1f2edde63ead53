#include "store_client.h"

#include <fcntl.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/line_log.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/published/published_cache.h"
#include "support/flood_server.h"
#include "support/loop_server.h"

namespace primroseweir::platform {
namespace {

using testing::LoopServer;
using testing::RunUntil;

std::string Json(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A client of a scripted store.
struct StoreFixture {
  explicit StoreFixture(LoopServer::Script script, Duration wait = Duration::zero())
      : server(&loop, std::move(script)),
        log("test", open("/dev/null", O_WRONLY | O_CLOEXEC)),
        cache("servers/") {
    first_read_wait = wait;
    StoreClient::Options options;
    options.address = server.address();
    options.keep_expired = std::chrono::milliseconds(1700);
    StoreClient::Hooks hooks;
    hooks.time_until_first_read = [this](Instant) { return first_read_wait; };
    hooks.time_until_read = [this](Instant) {
      return should_read ? Duration::zero() : Duration(std::chrono::milliseconds(50));
    };
    hooks.is_first_reader = [](Instant) { return true; };
    hooks.on_response = [this](Revision, bool) { ++responses; };
    hooks.on_served = [this](bool now_served) { served = now_served; };
    client = std::make_unique<StoreClient>(&loop, options, &cache, &log, &metrics, hooks);
    client->Start();
  }

  EventLoop loop;
  LoopServer server;
  LineLog log;
  GatewayMetrics metrics;
  PublishedCache cache;
  std::unique_ptr<StoreClient> client;
  Duration first_read_wait{};
  bool should_read = true;
  bool served = false;
  int responses = 0;
};

constexpr char kEmptyRange[] = R"({"items":[],"hasMore":false,"at":7})";

// Guards against an instance that stays on an old state because one answer of the store was lost
// while its connection stayed alive (soak seeds 110, 205, 211 and 3110).
TEST_CASE("a watch whose answer was lost is asked again", "[platform][config-in-force]") {
  int watches = 0;
  StoreFixture fixture([&watches](const LoopServer::Request& request) {
    if (request.head.target.find("kv-range") != std::string::npos) {
      return LoopServer::Reply{Json(kEmptyRange), {}, {}};
    }
    // "aQ==" is "i".
    return ++watches == 1
               ? LoopServer::Reply()
               : LoopServer::Reply{
                     Json(R"({"events":[{"key":"op/config","value":"aQ==","revision":9}],"at":9})"),
                     {},
                     {}};
  });
  REQUIRE(RunUntil(&fixture.loop, [&] { return fixture.served; }));
  CHECK(RunUntil(
      &fixture.loop, [&] { return fixture.cache.at() == Revision(9); },
      StoreClient::kWatchTime + StoreClient::kWatchTimeoutMargin + std::chrono::seconds(1)));
  CHECK(fixture.cache.Items().size() == 1);
}

// Guards against a whole read of the store by each instance of a fleet that starts at once.
TEST_CASE("a peer's state takes the place of the first read", "[platform]") {
  std::vector<std::string> targets;
  StoreFixture fixture(
      [&targets](const LoopServer::Request& request) {
        targets.push_back(request.head.target);
        return LoopServer::Reply{Json(R"({"events":[],"at":9})"), {}, {}};
      },
      std::chrono::milliseconds(5));
  RunUntil(
      &fixture.loop, [] { return false; }, std::chrono::milliseconds(100));
  CHECK(targets.empty());
  const auto now = EventLoop::Now();
  fixture.cache.Replace({{"op/config", "x", Revision(9)}}, Revision(9), now, now);
  REQUIRE(RunUntil(&fixture.loop, [&] { return !targets.empty(); }));
  CHECK(targets[0].find("kv-watch") != std::string::npos);
  CHECK(targets[0].find("after=9&") != std::string::npos);
}

TEST_CASE("the first read begins when its wait is over", "[platform]") {
  std::vector<std::string> targets;
  StoreFixture fixture(
      [&targets](const LoopServer::Request& request) {
        targets.push_back(request.head.target);
        return LoopServer::Reply{Json(kEmptyRange), {}, {}};
      },
      std::chrono::milliseconds(5));
  fixture.first_read_wait = Duration::zero();
  REQUIRE(RunUntil(&fixture.loop, [&] { return !targets.empty(); }));
  CHECK(targets[0].find("kv-range") != std::string::npos);
}

// Guards against changes that are missed between two pages, and against a lost history.
TEST_CASE("pages are read from the first one's revision on", "[platform]") {
  int watches = 0;
  StoreFixture fixture([&watches](const LoopServer::Request& request) {
    const auto& target = request.head.target;
    if (target.find("kv-range") != std::string::npos) {
      const bool second = target.find("after=a") != std::string::npos;
      return LoopServer::Reply{
          Json(
              second
                  ? R"({"items":[{"key":"b","value":"aQ==","revision":3}],"hasMore":false,"at":8})"
                  : R"({"items":[{"key":"a","value":"aQ==","revision":2}],"hasMore":true,"at":5})"),
          {},
          {}};
    }
    if (++watches == 1) {
      CHECK(target.find("after=5&") != std::string::npos);
      return LoopServer::Reply{"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", {}, {}};
    }
    return LoopServer::Reply();
  });
  CHECK(RunUntil(&fixture.loop, [&] { return watches == 2; }));
  CHECK(fixture.cache.Items().size() == 2);
}

// Guards against changes that are missed because a later page of a stale read is older than the
// first, and against a second stale read that begins before the history again.
TEST_CASE("the first read may be stale and is watched from its oldest page", "[platform]") {
  std::vector<std::string> ranges;
  std::string watched;
  StoreFixture fixture([&](const LoopServer::Request& request) {
    const auto& target = request.head.target;
    if (target.find("kv-range") != std::string::npos) {
      ranges.push_back(target);
      const bool second = target.find("after=a") != std::string::npos;
      return LoopServer::Reply{
          Json(
              second
                  ? R"({"items":[{"key":"b","value":"aQ==","revision":3}],"hasMore":false,"at":4})"
                  : R"({"items":[{"key":"a","value":"aQ==","revision":2}],"hasMore":true,"at":5})"),
          {},
          {}};
    }
    if (std::exchange(watched, target).empty()) {
      return LoopServer::Reply{"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", {}, {}};
    }
    return LoopServer::Reply();
  });
  CHECK(RunUntil(&fixture.loop, [&] { return !watched.empty(); }));
  CHECK(watched.find("after=4&") != std::string::npos);
  CHECK(RunUntil(&fixture.loop, [&] { return ranges.size() == 4; }));
  CHECK(ranges[0].find("isStale=1") != std::string::npos);
  CHECK(ranges[1].find("isStale=1") != std::string::npos);
  CHECK(ranges[2].find("isStale") == std::string::npos);
}

// Guards against a store whose return is noticed only when a long watch, sent while it was silent,
// is given up (hunt of gsac-dakar, mix, seed 1050612949207).
TEST_CASE("a watch waits only where the last one was answered", "[platform][config-in-force]") {
  std::vector<std::string> watches;
  StoreFixture fixture([&watches](const LoopServer::Request& request) {
    const auto& target = request.head.target;
    if (target.find("kv-range") != std::string::npos) {
      return LoopServer::Reply{Json(kEmptyRange), {}, {}};
    }
    watches.push_back(target.substr(target.find("waitMs=")));
    return watches.size() == 2 ? LoopServer::Reply()
                               : LoopServer::Reply{Json(R"({"events":[],"at":7})"), {}, {}};
  });
  REQUIRE(RunUntil(&fixture.loop, [&] { return watches.size() == 1; }));
  CHECK_FALSE(fixture.served);
  REQUIRE(RunUntil(
      &fixture.loop, [&] { return watches.size() == 3; },
      StoreClient::kWatchTime + StoreClient::kWatchTimeoutMargin + std::chrono::seconds(1)));
  CHECK(watches[0] == "waitMs=0");
  CHECK(watches[1] == "waitMs=" + std::to_string(ToMilliseconds(StoreClient::kWatchTime)));
  CHECK(watches[2] == "waitMs=0");
}

// Guards against calls to the store by instances that follow another.
TEST_CASE("an instance that need not read asks the store no further", "[platform]") {
  StoreFixture fixture([](const LoopServer::Request&) {
    return LoopServer::Reply{Json(kEmptyRange), {}, {}};
  });
  fixture.should_read = false;
  REQUIRE(RunUntil(&fixture.loop, [&] { return fixture.responses == 1; }));
  RunUntil(
      &fixture.loop, [] { return false; }, std::chrono::milliseconds(800));
  CHECK(fixture.server.requests().size() == 1);
  CHECK_FALSE(fixture.served);
}

// Guards against a client that gives up, or that floods a store which refuses.
TEST_CASE("refused calls are tried again with growing pauses", "[platform]") {
  int calls = 0;
  StoreFixture fixture([&calls](const LoopServer::Request&) {
    return ++calls < 4 ? LoopServer::Reply{"HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n", {}, {}}
                       : LoopServer::Reply{Json(kEmptyRange), {}, {}};
  });
  const auto begin = MonotonicNow();
  CHECK(RunUntil(&fixture.loop, [&] { return fixture.responses >= 1; }));
  CHECK(MonotonicNow() - begin >= std::chrono::milliseconds(600));
}

// Guards against memory and time that an answer without end takes: the store is asked again.
TEST_CASE("an answer of the store without end is given up", "[platform][endless]") {
  EventLoop loop;
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  testing::FloodServer server(&loop, head, "61a80\r\n" + std::string(400'000, ' ') + "\r\n");
  LineLog log("test", open("/dev/null", O_WRONLY | O_CLOEXEC));
  GatewayMetrics metrics;
  PublishedCache cache("servers/");
  StoreClient::Options options;
  options.address = server.address();
  StoreClient::Hooks hooks;
  hooks.time_until_read = [](Instant) { return Duration::zero(); };
  hooks.is_first_reader = [](Instant) { return true; };
  hooks.on_response = [](Revision, bool) {};
  hooks.on_served = [](bool) {};
  StoreClient client(&loop, options, &cache, &log, &metrics, std::move(hooks));
  const auto before = testing::ResidentBytes();
  client.Start();
  CHECK(RunUntil(&loop, [&] { return server.ended() >= 1; }));
  CHECK(testing::ResidentBytes() < before + 3 * StoreClient::kMaxResponseBytes);
}

}  // namespace
}  // namespace primroseweir::platform
