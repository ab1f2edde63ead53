#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>

#include "platform_site.h"

namespace primroseweir::testing {
namespace {

using std::chrono::seconds;

// A site with three instances, two upstreams for reads, one each for two other services, and a
// configuration.
class ServedSite : public PlatformSite {
 public:
  ServedSite() : PlatformSite(3) {
    AddUpstream("r1", "reads", 1);
    AddUpstream("r2", "reads", 2);
    AddUpstream("b1", "bookings", 3);
    AddUpstream("o1", "others", 4);
    Configure(1);
    for (int i = 0; i < 3; ++i) {
      REQUIRE(WaitUntilReady(i));
    }
  }
};

// Guards the path of a call from end to end: the decoded store, routes, upstreams, address
// responses and metrics.
TEST_CASE("instances on the platform serve calls, address requests and metrics", "[platform]") {
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
  CHECK(site.CallStatus(0, "GET", "/none/", "n") == 404);
  const auto addresses = standins::Get(
      site.DirectoryAddress(2), "/primroseweir/resolve?name=desk&region=r&zone=dc0", seconds(2));
  REQUIRE(addresses.ok());
  const auto json = PlatformSite::Json::parse(addresses->body);
  CHECK(json["ttlS"].get<int>() <= 5);
  CHECK_FALSE(json["addresses"].empty());
  const auto metrics = standins::Get(site.MetricsAddress(0), "/metrics", seconds(2));
  REQUIRE(metrics.ok());
  CHECK(metrics->body.find("primroseweir_answer_seconds_count{prefix=\"/read/\"}") !=
        std::string::npos);
}

// Guards against instances that keep serving an old configuration, whether they read the store or
// not, and against a return to a lower version.
TEST_CASE("a new configuration takes effect on all instances and is not reverted",
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
  CHECK_FALSE(site.WaitForLogLine(0, {"event=item_rejected", "key=op/config"}).empty());
  CHECK(site.Call(0, "GET", "/read/1", "d")->body.find("at o1") != std::string::npos);
}

// Guards against calls to an upstream that is leaving, or in a data centre that an operator has
// taken out of service.
TEST_CASE("leaving upstreams and data centres out of service get no calls",
          "[platform][upstream-leaving][data-centre-out]") {
  ServedSite site;
  site.SendCommand("/state", {{"id", "r1"}, {"state", "draining"}});
  REQUIRE(WaitUntil(
      [&] {
        return !site.WaitForLogLine(0, {"event=state_in_force"}).empty() &&
               site.Call(0, "GET", "/read/1", "l")->body.find("at r2") != std::string::npos;
      },
      seconds(2)));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto before = site.SendCommand("/runs");
  for (int i = 0; i < 30; ++i) {
    CHECK(site.Call(i % 3, "GET", "/read/1", "m")->body.find("at r2") != std::string::npos);
  }
  site.SendCommand("/put", {{"key", "op/evacuate/dc0"}, {"value", "1"}});
  CHECK(WaitUntil([&] { return site.CallStatus(0, "GET", "/read/1", "e") == 503; }, seconds(2)));
  site.SendCommand("/erase", {{"key", "op/evacuate/dc0"}});
  CHECK(WaitUntil([&] { return site.CallStatus(0, "GET", "/read/1", "f") == 200; }, seconds(3)));
}

// Guards against a fleet that stops serving when the store does, or that misses the changes of an
// outage.
TEST_CASE("calls are served during an outage of the store, and its changes are applied afterwards",
          "[platform]") {
  ServedSite site;
  site.SendCommand("/down", {{"for", "all"}});
  for (int i = 0; i < 9; ++i) {
    CHECK(site.CallStatus(i % 3, "GET", "/read/1", "o") == 200);
  }
  site.Configure(5, "others");
  site.SendCommand("/erase", {{"key", "servers/r1"}});
  site.SendCommand("/compact");
  site.SendCommand("/down", {{"for", "no"}});
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

// Guards against a planned stop that aborts calls.
TEST_CASE("a stopping instance finishes its calls and is no longer resolved",
          "[platform][graceful-stop]") {
  ServedSite site;
  site.Instance(1).Signal(SIGTERM);
  CHECK(WaitUntil(
      [&] {
        const auto ready =
            standins::Get(site.ReadinessAddress(1), "/primroseweir/readiness", seconds(1));
        return ready.ok() && ready->head.status == 503;
      },
      seconds(1)));
  for (int i = 0; i < 10; ++i) {
    CHECK(site.CallStatus(1, "GET", "/read/1", "s") == 200);
  }
  CHECK(WaitUntil(
      [&] {
        const auto response =
            standins::Get(site.DirectoryAddress(0),
                          "/primroseweir/resolve?name=desk&region=r&zone=dc1", seconds(1));
        return response.ok() &&
               response->body.find(site.CallerAddress(1).ToString()) == std::string::npos;
      },
      seconds(2)));
  CHECK(site.Instance(1).WaitForExit(seconds(4)) == 0);
}

// Guards against requests to an upstream after it stated in its responses that it leaves, with the
// store and without it, and against one that is lost when it returns as a new process.
TEST_CASE("an upstream that states that it leaves gets no call until it registers anew",
          "[platform][upstream-leaving]") {
  ServedSite site;
  const auto serves = [&site](int instance, const std::string& upstream, const std::string& id) {
    const auto response = site.Call(instance, "GET", "/read/1", id);
    return response.ok() && response->body.find("at " + upstream) != std::string::npos;
  };
  // Without a second upstream, all calls go to the first one.
  site.SendCommand("/mode", {{"id", "r2"}, {"mode", "refuse"}});
  site.SendCommand("/mode", {{"id", "r1"}, {"mode", "leave"}});
  int number = 0;
  for (int i = 0; i < 3; ++i) {
    // A call or a probe gets the first response.
    CHECK(WaitUntil(
        [&] {
          site.CallStatus(i, "GET", "/read/1", "l" + std::to_string(number++));
          return site.Instance(i).Log().find("event=upstream_leaving upstream=r1") !=
                 std::string::npos;
        },
        seconds(5)));
  }
  site.SendCommand("/mode", {{"id", "r2"}, {"mode", "ok"}});
  const auto runs_before = site.SendCommand("/runs");
  const auto r1_runs = [](const std::string& runs) {
    return runs.substr(runs.find("r1="), runs.find('\n', runs.find("r1=")) - runs.find("r1="));
  };
  for (int round = 0; round < 2; ++round) {
    for (int i = 0; i < 60; ++i) {
      CHECK(serves(i % 3, "r2", "m" + std::to_string(number++)));
    }
    // It no longer states that it leaves, and its entry has not changed.
    site.SendCommand("/mode", {{"id", "r1"}, {"mode", "ok"}});
    site.SendCommand("/state", {{"id", "r1"}, {"state", "ready"}});
    site.Configure(2);
    site.SendCommand("/down", {{"for", round == 0 ? "all" : "no"}});
  }
  CHECK(r1_runs(site.SendCommand("/runs")) == r1_runs(runs_before));
  site.SendCommand("/mode", {{"id", "r2"}, {"mode", "refuse"}});
  site.SendCommand("/restart", {{"id", "r1"}});
  for (int i = 0; i < 3; ++i) {
    CHECK(WaitUntil([&] { return serves(i, "r1", "n" + std::to_string(number++)); }, seconds(8)));
  }
}

// Guards against requests, also for health, that reach an upstream during the pause that it asked
// for.
TEST_CASE("an upstream that asks for a pause gets no request from the instances that it refused",
          "[platform][not-run]") {
  ServedSite site;
  const auto requests = [&site](const std::string& id) {
    const auto text = site.SendCommand("/requests");
    return std::atoi(text.c_str() + text.find(id + "=") + id.size() + 1);
  };
  site.SendCommand("/mode", {{"id", "b1"}, {"mode", "pause"}});
  for (int i = 0; i < 3; ++i) {
    REQUIRE(WaitUntil(
        [&] {
          return site.CallStatus(i, "POST", "/book/1", "p" + std::to_string(i)) == 503 &&
                 !site.WaitForLogLine(i, {"event=upstream_paused", "upstream=b1"}).empty();
        },
        seconds(5)));
  }
  const auto refused_at = MonotonicNow();
  const auto requests_before = requests("b1");
  site.SendCommand("/mode", {{"id", "b1"}, {"mode", "ok"}});
  int number = 0;
  while (MonotonicNow() - refused_at < std::chrono::milliseconds(1200)) {
    const auto response =
        site.Call(number % 3, "POST", "/book/1", "w" + std::to_string(number), "b");
    ++number;
    REQUIRE(response.ok());
    CHECK(response->head.status == 503);
    CHECK(response->body == "upstreams_paused\n");
    CHECK_FALSE(response->head.Value("Retry-After").empty());
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(requests("b1") == requests_before);
  for (int i = 0; i < 3; ++i) {
    CHECK(WaitUntil(
        [&] {
          return site.CallStatus(i, "POST", "/book/1", "x" + std::to_string(number++)) == 200;
        },
        seconds(5)));
  }
}

// Guards against a second execution of a booking, and against a response that wrongly says that the
// booking was not executed.
TEST_CASE("a booking that may have been executed is neither retried nor reported as not executed",
          "[platform][at-most-once][not-run]") {
  ServedSite site;
  site.AddUpstream("b2", "bookings", 5);
  site.SendCommand("/mode", {{"id", "b1"}, {"mode", "reset"}});
  site.SendCommand("/mode", {{"id", "b2"}, {"mode", "reset"}});
  CHECK(site.CallStatus(0, "POST", "/book/1", "once") == 502);
  const auto runs = site.SendCommand("/runs");
  CHECK((runs.find("b1=1") != std::string::npos) != (runs.find("b2=1") != std::string::npos));
}

// Guards the log events by which an operator finds the cause of a failed request from its id.
TEST_CASE("the log gives the cause of each failed request", "[platform]") {
  ServedSite site;
  site.SendCommand("/mode", {{"id", "b1"}, {"mode", "refuse"}});
  CHECK(site.CallStatus(0, "POST", "/book/1", "refused-1") == 503);
  CHECK_FALSE(site.WaitForLogLine(0, {"event=call_ended", "request=refused-1", "outcome=refused",
                                      "upstreams=b1", "configuration=1"})
                  .empty());
  CHECK_FALSE(site.WaitForLogLine(0, {"event=attempt_answered", "request=refused-1", "status=503"})
                  .empty());
  site.SendCommand("/mode", {{"id", "b1"}, {"mode", "silent"}});
  CHECK(site.CallStatus(0, "POST", "/book/1", "late-1") == 504);
  CHECK_FALSE(site.WaitForLogLine(0, {"event=call_ended", "request=late-1", "outcome=failed",
                                      "reason=deadline", "upstreams=b1"})
                  .empty());
  site.SendCommand("/mode", {{"id", "b1"}, {"mode", "reset"}});
  CHECK(site.CallStatus(0, "POST", "/book/1", "cut-1") == 502);
  CHECK_FALSE(
      site.WaitForLogLine(0, {"event=attempt_lost", "request=cut-1", "upstream=b1"}).empty());
}

}  // namespace
}  // namespace primroseweir::testing
