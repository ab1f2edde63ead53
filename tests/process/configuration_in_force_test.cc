#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

// Time within which a configuration change must be in force.
constexpr auto kMaxApplyTime = kMaxReactionTime;

// Guards against an instance that misses changes because the replica of the configuration service
// that it reads is stale, and against an instance that returns to the stale values.
TEST_CASE("a change takes effect at all instances although one replica is stale",
          "[config-in-force]") {
  Site site(SmallPlan("stale-replica"));
  const std::string stale_address = site.ConfigurationAddress("melk").ToString();
  site.ControlConfigurationService("/freeze?who=" + stale_address);
  const auto revision = site.DeclareOut({"spitz"});
  CHECK(WaitForRevision(site, {0, 1, 2}, revision, kMaxApplyTime));

  // After a restart, the instance first reads the stale replica of its data centre.
  site.RestartEntry(1);
  CHECK(WaitForRevision(site, {1}, revision, kMaxApplyTime));
  MarkAllUpstreams(&site);
  for (int i = 0; i < 40; ++i) {
    Send(site.CallerAddress(1), "GET", std::string("/") + kReadService + "/read");
    for (int instance = 0; instance < 3; ++instance) {
      CHECK(RevisionOf(site, instance) >= revision);
    }
  }
  CHECK(CallsSinceMarkIn(site, "spitz").calls == 0);
}

// Guards against instances that lose the configuration, or can't start, while the configuration
// service is down.
TEST_CASE("instances keep the configuration and restart while the configuration service is down",
          "[config-in-force]") {
  Site site(SmallPlan("service-down"));
  const auto revision = site.DeclareOut({"spitz"});
  REQUIRE(WaitForRevision(site, {0, 1, 2}, revision, kMaxApplyTime));
  BackgroundLoad load(MakeReadLoadPlan(site, 50));
  site.ControlConfigurationService("/down");
  std::this_thread::sleep_for(seconds(2));
  site.entry(2).Kill();
  site.RestartEntry(2);
  CHECK(WaitForRevision(site, {0, 1, 2}, revision, kMaxApplyTime));
  site.entry(0).Kill();
  site.RestartEntry(0);
  CHECK(WaitForRevision(site, {0, 1, 2}, revision, kMaxApplyTime));
  MarkAllUpstreams(&site);
  for (int i = 0; i < 30; ++i) {
    const auto response =
        Send(site.CallerAddress(i % 3), "GET", std::string("/") + kReadService + "/read");
    INFO("call " << i << ": " << response.body);
    CHECK(response.head.status == 200);
  }
  CHECK(CallsSinceMarkIn(site, "spitz").calls == 0);
  CheckAllCorrect(load.Stop());
  site.ControlConfigurationService("/up");
  const auto later_revision = site.DeclareOut({});
  // Instances that had no contact poll with a back-off of up to 30 s; watches return sooner.
  CHECK(WaitForRevision(site, {0, 1, 2}, later_revision, seconds(35)));
}

// Guards against a rejected text that replaces the text in force.
TEST_CASE("a rejected text changes nothing and the next valid text takes effect",
          "[config-in-force]") {
  Site site(SmallPlan("rejected-text"));
  const std::string target = std::string("/") + kReadService + "/read";
  site.SetValue("text", R"({"services":[{"name":"ice-board","colour":"blue"}]})");
  std::this_thread::sleep_for(seconds(1));
  for (int i = 0; i < 3; ++i) CHECK(Send(site.CallerAddress(i), "GET", target).head.status == 200);
  site.SetValue("text", R"({"services":[{"name":"chart-distribution"}]})");
  const auto service_removed = [&] {
    for (int i = 0; i < 3; ++i) {
      if (Send(site.CallerAddress(i), "GET", target).head.status == 200) return false;
    }
    return true;
  };
  CHECK(WaitUntil(service_removed, kMaxApplyTime));
  const auto response = Send(site.CallerAddress(0), "GET", target);
  CHECK(OutcomeOf(response) == "not-run");
}

}  // namespace
}  // namespace primroseweir::testing
