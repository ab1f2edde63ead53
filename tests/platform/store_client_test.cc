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
#include "primroseweir/published/published_snapshot.h"
#include "support/flood_server.h"
#include "support/loop_server.h"

namespace primroseweir::platform {
namespace {

using std::chrono::milliseconds;
using testing::LoopServer;
using testing::RunUntil;

std::string OkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A StoreClient connected to a scripted store.
struct StoreFixture {
  explicit StoreFixture(LoopServer::Script script, Duration wait = Duration::zero())
      : server(&loop, std::move(script)),
        log("test", open("/dev/null", O_WRONLY | O_CLOEXEC)),
        cache("servers/") {
    first_read_wait = wait;
    StoreClient::Options options;
    options.address = server.address();
    options.expired_item_retention = std::chrono::milliseconds(1700);
    StoreClient::Hooks hooks;
    hooks.time_until_first_read = [this](Instant) { return first_read_wait; };
    hooks.time_until_read = [this](Instant) {
      return should_read ? Duration::zero() : Duration(std::chrono::milliseconds(50));
    };
    hooks.is_first_reader = [](Instant) { return true; };
    hooks.on_response = [this](Revision, bool) { ++responses; };
    hooks.on_reading_changed = [this](bool reading) { is_reading = reading; };
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
  bool is_reading = false;
  int responses = 0;
};

constexpr char kEmptyRange[] = R"({"items":[],"hasMore":false,"at":7})";

// Guards against an instance that keeps an old state because the store lost one response while the
// connection stayed open (soak seeds 110, 205, 211 and 3110).
TEST_CASE("a watch is repeated after its response was lost", "[platform][config-in-force]") {
  int watches = 0;
  StoreFixture fixture([&watches](const LoopServer::Request& request) {
    if (request.head.target.find("kv-range") != std::string::npos) {
      return LoopServer::Reply{OkResponse(kEmptyRange), {}, {}};
    }
    // "aQ==" is base64 for "i".
    return ++watches == 1
               ? LoopServer::Reply()
               : LoopServer::Reply{
                     OkResponse(
                         R"({"events":[{"key":"op/config","value":"aQ==","revision":9}],"at":9})"),
                     {},
                     {}};
  });
  REQUIRE(RunUntil(&fixture.loop, [&] { return fixture.is_reading; }));
  CHECK(RunUntil(
      &fixture.loop, [&] { return fixture.cache.revision() == Revision(9); },
      StoreClient::kMaxWatchWait + StoreClient::kWatchTimeoutMargin + std::chrono::seconds(1)));
  CHECK(fixture.cache.Items().size() == 1);
}

// Guards against calls to an upstream that has left: a removal that a response reported shortly
// after an outage was retained from that response on, although it may be as old as the one before.
TEST_CASE("a removal after an outage is retained from the response before its report",
          "[platform][upstream-leaving]") {
  int watches = 0;
  Instant back_at;
  StoreFixture fixture([&](const LoopServer::Request& request) {
    if (request.head.target.find("kv-range") != std::string::npos) {
      return LoopServer::Reply{
          OkResponse(R"({"items":[{"key":"servers/u1","value":"aQ==","revision":5}],"at":7})"),
          {},
          {}};
    }
    if (++watches == 1) {
      return LoopServer::Reply{
          "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", {}, {}};
    }
    if (watches == 2) {
      back_at = EventLoop::Now();
      return LoopServer::Reply{OkResponse(R"({"events":[],"at":7})"), {}, {}};
    }
    return LoopServer::Reply{
        OkResponse(R"({"events":[{"key":"servers/u1","revision":9,"deleted":true}],"at":9})"),
        {},
        {}};
  });
  REQUIRE(RunUntil(&fixture.loop, [&] { return fixture.cache.revision() == Revision(9); }));
  CHECK(fixture.cache.Items().size() == 1);
  // Less than the batch window after the end of the retention.
  CHECK(fixture.cache.Expire(back_at + milliseconds(1700) + StoreClient::kBatchWindow / 2));
  CHECK(fixture.cache.Items().empty());
}

// Guards against one odd item that stops an instance from following the others: the whole response
// was read again for as long as it held the item.
TEST_CASE("an item whose value can't be decoded leaves the others of a response in force",
          "[platform][malformed]") {
  const std::vector<std::string> odd_values = {R"("====")", R"("QQ=")", R"("*A==")",
                                               "7",         "null",     R"({"a":[]})"};
  for (const auto& value : odd_values) {
    for (const bool in_watch : {false, true}) {
      INFO(value << (in_watch ? " in a watch" : " in a read"));
      const auto items = R"([{"key":"servers/i-1","value":"aQ==","revision":8},)"
                         R"({"key":"servers/odd","value":)" +
                         value + R"(,"revision":9},)" +
                         R"({"key":"servers/i-2","value":"aQ==","revision":10}])";
      StoreFixture fixture([&](const LoopServer::Request& request) {
        const bool is_read = request.head.target.find("kv-range") != std::string::npos;
        if (is_read) {
          return LoopServer::Reply{
              OkResponse(in_watch ? kEmptyRange : R"({"items":)" + items + R"(,"at":10})"), {}, {}};
        }
        return LoopServer::Reply{OkResponse(in_watch ? R"({"events":)" + items + R"(,"at":10})"
                                                     : R"({"events":[],"at":10})"),
                                 {},
                                 {}};
      });
      CHECK(RunUntil(
          &fixture.loop, [&] { return fixture.cache.revision() == Revision(10); },
          std::chrono::seconds(1)));
      REQUIRE(fixture.cache.Items().size() == 3);
      CHECK(fixture.cache.Items()[0]->value == "i");
      CHECK(fixture.cache.Items()[1]->value == "i");
      // The decoder rejects an empty value.
      CHECK(fixture.cache.Items()[2]->value.empty());
    }
  }
}

// Guards against an entry that stays for good although it was deleted: its put arrived in a watch's
// response after a peer's newer snapshot, which held the deletion.
TEST_CASE("events of a watch that are older than a peer's snapshot are ignored", "[platform]") {
  PublishedCache* cache = nullptr;
  int watches = 0;
  StoreFixture fixture([&](const LoopServer::Request& request) {
    if (request.head.target.find("kv-range") != std::string::npos) {
      return LoopServer::Reply{OkResponse(kEmptyRange), {}, {}};
    }
    if (++watches > 1) {
      return LoopServer::Reply();
    }
    PublishedSnapshot snapshot;
    snapshot.after = Revision(7);
    snapshot.revision = Revision(10);
    snapshot.items = {{"servers/i-2", "x", Revision(10)}};
    snapshot.tombstones = {{"servers/i-1", Revision(9), Duration::zero()}};
    CHECK(cache->Merge(snapshot, EventLoop::Now()));
    return LoopServer::Reply{
        OkResponse(R"({"events":[{"key":"servers/i-1","value":"aQ==","revision":8}],"at":8})"),
        {},
        {}};
  });
  cache = &fixture.cache;
  REQUIRE(RunUntil(&fixture.loop, [&] { return watches == 2; }));
  REQUIRE(fixture.cache.Items().size() == 1);
  CHECK(fixture.cache.Items()[0]->key == "servers/i-2");
  CHECK(fixture.cache.revision() == Revision(10));
}

// Guards against a full read of the store by each instance of a fleet that starts at the same time.
TEST_CASE("the first read is skipped once a peer's state is in the cache", "[platform]") {
  std::vector<std::string> targets;
  StoreFixture fixture(
      [&targets](const LoopServer::Request& request) {
        targets.push_back(request.head.target);
        return LoopServer::Reply{OkResponse(R"({"events":[],"at":9})"), {}, {}};
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

TEST_CASE("the first read begins after its delay", "[platform]") {
  std::vector<std::string> targets;
  StoreFixture fixture(
      [&targets](const LoopServer::Request& request) {
        targets.push_back(request.head.target);
        return LoopServer::Reply{OkResponse(kEmptyRange), {}, {}};
      },
      std::chrono::milliseconds(5));
  fixture.first_read_wait = Duration::zero();
  REQUIRE(RunUntil(&fixture.loop, [&] { return !targets.empty(); }));
  CHECK(targets[0].find("kv-range") != std::string::npos);
}

// Guards against changes that are missed between two pages, and against a client that does not read
// again after the store discarded its history.
TEST_CASE("the watch starts from the first page's revision, and a lost history causes a new read",
          "[platform]") {
  int watches = 0;
  StoreFixture fixture([&watches](const LoopServer::Request& request) {
    const auto& target = request.head.target;
    if (target.find("kv-range") != std::string::npos) {
      const bool second = target.find("after=a") != std::string::npos;
      return LoopServer::Reply{
          OkResponse(
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
// first, and against a second stale read that again returns a revision before the history.
TEST_CASE("the first read is stale and the watch starts from its oldest page", "[platform]") {
  std::vector<std::string> ranges;
  std::string watched;
  StoreFixture fixture([&](const LoopServer::Request& request) {
    const auto& target = request.head.target;
    if (target.find("kv-range") != std::string::npos) {
      ranges.push_back(target);
      const bool second = target.find("after=a") != std::string::npos;
      return LoopServer::Reply{
          OkResponse(
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

// Guards against a store whose recovery is noticed only when a long watch times out that was sent
// while the store did not respond (fault search "mix" of the deployment gsac-dakar, seed
// 1050612949207).
TEST_CASE("a watch waits only after a successful one", "[platform][config-in-force]") {
  std::vector<std::string> watches;
  StoreFixture fixture([&watches](const LoopServer::Request& request) {
    const auto& target = request.head.target;
    if (target.find("kv-range") != std::string::npos) {
      return LoopServer::Reply{OkResponse(kEmptyRange), {}, {}};
    }
    watches.push_back(target.substr(target.find("waitMs=")));
    return watches.size() == 2 ? LoopServer::Reply()
                               : LoopServer::Reply{OkResponse(R"({"events":[],"at":7})"), {}, {}};
  });
  REQUIRE(RunUntil(&fixture.loop, [&] { return watches.size() == 1; }));
  CHECK_FALSE(fixture.is_reading);
  REQUIRE(RunUntil(
      &fixture.loop, [&] { return watches.size() == 3; },
      StoreClient::kMaxWatchWait + StoreClient::kWatchTimeoutMargin + std::chrono::seconds(1)));
  CHECK(watches[0] == "waitMs=0");
  CHECK(watches[1] == "waitMs=" + std::to_string(ToMilliseconds(StoreClient::kMaxWatchWait)));
  CHECK(watches[2] == "waitMs=0");
}

// Guards against calls to the store by instances that leave it to another reader.
TEST_CASE("an instance that need not read the store sends no watch", "[platform]") {
  StoreFixture fixture([](const LoopServer::Request&) {
    return LoopServer::Reply{OkResponse(kEmptyRange), {}, {}};
  });
  fixture.should_read = false;
  REQUIRE(RunUntil(&fixture.loop, [&] { return fixture.responses == 1; }));
  RunUntil(
      &fixture.loop, [] { return false; }, std::chrono::milliseconds(800));
  CHECK(fixture.server.requests().size() == 1);
  CHECK_FALSE(fixture.is_reading);
}

// Guards against a client that gives up, or that floods a store which refuses its calls.
TEST_CASE("refused calls are retried with growing back-off", "[platform]") {
  int calls = 0;
  StoreFixture fixture([&calls](const LoopServer::Request&) {
    return ++calls < 4 ? LoopServer::Reply{"HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n", {}, {}}
                       : LoopServer::Reply{OkResponse(kEmptyRange), {}, {}};
  });
  const auto begin = MonotonicNow();
  CHECK(RunUntil(&fixture.loop, [&] { return fixture.responses >= 1; }));
  CHECK(MonotonicNow() - begin >= std::chrono::milliseconds(600));
}

// Guards against a response without end that takes ever more memory and time: it is aborted, and
// the store is called again.
TEST_CASE("a response of the store without end is aborted", "[platform][endless]") {
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
  hooks.on_reading_changed = [](bool) {};
  StoreClient client(&loop, options, &cache, &log, &metrics, std::move(hooks));
  const auto before = testing::ResidentBytes();
  client.Start();
  CHECK(RunUntil(&loop, [&] { return server.ended() >= 1; }));
  CHECK(testing::ResidentBytes() < before + 3 * StoreClient::kMaxResponseBytes);
}

}  // namespace
}  // namespace primroseweir::platform
