#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

// Seconds within which a change is in force, from the promise.
constexpr auto kBound = kAFewSeconds;

// Guards against an instance that misses changes because its replica of the service is stale, and
// against one that goes back to the stale values.
TEST_CASE("a change is in force everywhere although a replica is stale", "[config-in-force]") {
  Site site(SmallPlan("stale-replica"));
  const std::string stale = site.ConfigurationAddress("melk").ToString();
  site.Configuration("/freeze?who=" + stale);
  const auto revision = site.DeclareOut({"spitz"});
  CHECK(WaitForRevision(site, {0, 1, 2}, revision, kBound));

  // A new process of the data centre reads the stale replica first of all.
  site.RestartEntry(1);
  CHECK(WaitForRevision(site, {1}, revision, kBound));
  MarkAll(&site);
  for (int i = 0; i < 40; ++i) {
    Send(site.CallerAddress(1), "GET", std::string("/") + kReads + "/read");
    for (int instance = 0; instance < 3; ++instance) {
      CHECK(RevisionOf(site, instance) >= revision);
    }
  }
  CHECK(WorkIn(site, "spitz").calls == 0);
}

// Guards against instances that lose the configuration, or can't start, while the service is down.
TEST_CASE("a service that is down for long changes nothing", "[config-in-force]") {
  Site site(SmallPlan("service-down"));
  const auto revision = site.DeclareOut({"spitz"});
  REQUIRE(WaitForRevision(site, {0, 1, 2}, revision, kBound));
  BackgroundLoad load(ReadLoad(site, 50));
  site.Configuration("/down");
  std::this_thread::sleep_for(seconds(2));
  site.entry(2).Kill();
  site.RestartEntry(2);
  CHECK(WaitForRevision(site, {0, 1, 2}, revision, kBound));
  site.entry(0).Kill();
  site.RestartEntry(0);
  CHECK(WaitForRevision(site, {0, 1, 2}, revision, kBound));
  MarkAll(&site);
  for (int i = 0; i < 30; ++i) {
    const auto response =
        Send(site.CallerAddress(i % 3), "GET", std::string("/") + kReads + "/read");
    INFO("call " << i << ": " << response.body);
    CHECK(response.head.status == 200);
  }
  CHECK(WorkIn(site, "spitz").calls == 0);
  CheckAllRight(load.Stop());
  site.Configuration("/up");
  const auto later = site.DeclareOut({});
  // Instances that heard nothing poll with a backoff of up to 30 s; the watches return sooner.
  CHECK(WaitForRevision(site, {0, 1, 2}, later, seconds(35)));
}

// Guards against a rejected text that replaces the one in force.
TEST_CASE("a rejected text changes nothing and the next good one counts", "[config-in-force]") {
  Site site(SmallPlan("rejected-text"));
  const std::string target = std::string("/") + kReads + "/read";
  site.SetValue("text", R"({"services":[{"name":"ice-board","colour":"blue"}]})");
  std::this_thread::sleep_for(seconds(1));
  for (int i = 0; i < 3; ++i) CHECK(Send(site.CallerAddress(i), "GET", target).head.status == 200);
  site.SetValue("text", R"({"services":[{"name":"chart-distribution"}]})");
  const auto gone = [&] {
    for (int i = 0; i < 3; ++i) {
      if (Send(site.CallerAddress(i), "GET", target).head.status == 200) return false;
    }
    return true;
  };
  CHECK(WaitUntil(gone, kBound));
  const auto response = Send(site.CallerAddress(0), "GET", target);
  CHECK(OutcomeOf(response) == "not-run");
}

}  // namespace
}  // namespace primroseweir::testing
