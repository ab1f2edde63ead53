#include <signal.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "platform_site.h"

namespace primroseweir::testing {
namespace {

using std::chrono::seconds;

// Three instances, two upstreams a service, a configuration.
class ServedSite : public PlatformSite {
 public:
  ServedSite() : PlatformSite(3) {
    AddUpstream("r1", "reads", 1);
    AddUpstream("r2", "reads", 2);
    AddUpstream("b1", "bookings", 3);
    AddUpstream("o1", "others", 4);
    Configure(1);
    for (int i = 0; i < 3; ++i) {
      REQUIRE(WaitReady(i));
    }
  }
};

// Guards the whole path: store, adapter, routes, upstreams, address answers, metrics.
TEST_CASE("the whole path is served on the platform", "[platform]") {
  ServedSite site;
  for (int i = 0; i < 3; ++i) {
    const auto response = site.Call(i, "GET", "/read/x?y", "q" + std::to_string(i));
    REQUIRE(response.ok());
    CHECK(response->head.status == 200);
    CHECK(response->head.Value("X-Request-Id") == "q" + std::to_string(i));
    CHECK_FALSE(response->head.Value("X-Response-Signature").empty());
    CHECK(response->body.find("GET /read/x?y") == 0);
  }
  const auto booking = site.Call(1, "POST", "/book/1", "b", "two berths");
  REQUIRE(booking.ok());
  CHECK(booking->body == "POST /book/1 two berths at b1");
  CHECK(site.Status(0, "GET", "/none/", "n") == 404);
  const auto addresses = standins::Get(
      site.Directory(2), "/primroseweir/resolve?name=desk&region=r&zone=dc0", seconds(2));
  REQUIRE(addresses.ok());
  const auto json = PlatformSite::Json::parse(addresses->body);
  CHECK(json["ttlS"].get<int>() <= 5);
  CHECK_FALSE(json["addresses"].empty());
  const auto metrics = standins::Get(site.Metrics(0), "/metrics", seconds(2));
  REQUIRE(metrics.ok());
  CHECK(metrics->body.find("primroseweir_answer_seconds_count{prefix=\"/read/\"}") !=
        std::string::npos);
}

// Guards against instances that serve an old configuration, with and without a reader.
TEST_CASE("a configuration is in force everywhere and never reverts",
          "[platform][config-in-force]") {
  ServedSite site;
  site.Configure(2, "others");
  REQUIRE(WaitUntil(
      [&] {
        for (int i = 0; i < 3; ++i) {
          const auto response = site.Call(i, "GET", "/read/1", "c");
          if (!response.ok() || response->body.find("at o1") == std::string::npos) {
            return false;
          }
        }
        return true;
      },
      seconds(2)));
  site.Configure(1, "reads");
  CHECK_FALSE(site.LogLine(0, {"event=item_rejected", "key=op/config"}).empty());
  CHECK(site.Call(0, "GET", "/read/1", "d")->body.find("at o1") != std::string::npos);
}

// Guards against calls after an operator's declaration or an upstream's leaving.
TEST_CASE("what leaves gets no calls", "[platform][upstream-leaving][data-centre-out]") {
  ServedSite site;
  site.Do("/state", {{"id", "r1"}, {"state", "draining"}});
  REQUIRE(WaitUntil(
      [&] {
        return !site.LogLine(0, {"event=state_in_force"}).empty() &&
               site.Call(0, "GET", "/read/1", "l")->body.find("at r2") != std::string::npos;
      },
      seconds(2)));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto before = site.Do("/runs");
  for (int i = 0; i < 30; ++i) {
    CHECK(site.Call(i % 3, "GET", "/read/1", "m")->body.find("at r2") != std::string::npos);
  }
  site.Do("/put", {{"key", "op/evacuate/dc0"}, {"value", "1"}});
  CHECK(WaitUntil([&] { return site.Status(0, "GET", "/read/1", "e") == 503; }, seconds(2)));
  site.Do("/erase", {{"key", "op/evacuate/dc0"}});
  CHECK(WaitUntil([&] { return site.Status(0, "GET", "/read/1", "f") == 200; }, seconds(3)));
}

// Guards against a fleet that stops when the platform does, or that misses what changed meanwhile.
TEST_CASE("an outage of the store and a lost history harm nothing", "[platform]") {
  ServedSite site;
  site.Do("/down", {{"for", "all"}});
  for (int i = 0; i < 9; ++i) {
    CHECK(site.Status(i % 3, "GET", "/read/1", "o") == 200);
  }
  site.Configure(5, "others");
  site.Do("/erase", {{"key", "servers/r1"}});
  site.Do("/compact");
  site.Do("/down", {{"for", "no"}});
  CHECK(WaitUntil(
      [&] {
        for (int i = 0; i < 3; ++i) {
          if (site.Call(i, "GET", "/read/1", "p")->body.find("at o1") == std::string::npos) {
            return false;
          }
        }
        return true;
      },
      seconds(4)));
}

// Guards against requests that a planned stop cuts.
TEST_CASE("a stopped instance finishes its calls and is no longer named",
          "[platform][graceful-stop]") {
  ServedSite site;
  site.Instance(1).Signal(SIGTERM);
  CHECK(WaitUntil(
      [&] {
        const auto ready = standins::Get(site.Readiness(1), "/primroseweir/readiness", seconds(1));
        return ready.ok() && ready->head.status == 503;
      },
      seconds(1)));
  for (int i = 0; i < 10; ++i) {
    CHECK(site.Status(1, "GET", "/read/1", "s") == 200);
  }
  CHECK(WaitUntil(
      [&] {
        const auto response = standins::Get(
            site.Directory(0), "/primroseweir/resolve?name=desk&region=r&zone=dc1", seconds(1));
        return response.ok() &&
               response->body.find(site.Callers(1).ToString()) == std::string::npos;
      },
      seconds(2)));
  CHECK(site.Instance(1).WaitForExit(seconds(4)) == 0);
}

// Guards against a second run of a booking, and against an untrue "not run".
TEST_CASE("a booking that may have run is neither repeated nor called not run",
          "[platform][at-most-once][not-run]") {
  ServedSite site;
  site.AddUpstream("b2", "bookings", 5);
  site.Do("/mode", {{"id", "b1"}, {"mode", "reset"}});
  site.Do("/mode", {{"id", "b2"}, {"mode", "reset"}});
  CHECK(site.Status(0, "POST", "/book/1", "once") == 502);
  const auto runs = site.Do("/runs");
  CHECK((runs.find("b1=1") != std::string::npos) != (runs.find("b2=1") != std::string::npos));
}

// The paths of docs/OPERATIONS.md, from a failed request's id to its cause.
TEST_CASE("the log leads from a failed request to its cause", "[platform]") {
  ServedSite site;
  site.Do("/mode", {{"id", "b1"}, {"mode", "refuse"}});
  CHECK(site.Status(0, "POST", "/book/1", "refused-1") == 503);
  CHECK_FALSE(site.LogLine(0, {"event=call_ended", "request=refused-1", "outcome=refused",
                               "upstreams=b1", "configuration=1"})
                  .empty());
  CHECK_FALSE(
      site.LogLine(0, {"event=attempt_answered", "request=refused-1", "status=503"}).empty());
  site.Do("/mode", {{"id", "b1"}, {"mode", "silent"}});
  CHECK(site.Status(0, "POST", "/book/1", "late-1") == 504);
  CHECK_FALSE(site.LogLine(0, {"event=call_ended", "request=late-1", "outcome=failed",
                               "reason=deadline", "upstreams=b1"})
                  .empty());
  site.Do("/mode", {{"id", "b1"}, {"mode", "reset"}});
  CHECK(site.Status(0, "POST", "/book/1", "cut-1") == 502);
  CHECK_FALSE(site.LogLine(0, {"event=attempt_lost", "request=cut-1", "upstream=b1"}).empty());
}

}  // namespace
}  // namespace primroseweir::testing
