#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

// Guards against work that reaches a data centre after operators took it out, and against calls
// that fail meanwhile.
TEST_CASE("a data centre taken out at load gets no new work and returns cold",
          "[data-centre-out][cold-start]") {
  Site site(SmallPlan("data-centre-out"));
  WarmUp(site, kReads, "/read");
  standins::LoadPlan plan = ReadLoad(site, 300);
  plan.booking_share = 0.1;
  plan.concurrency = 24;
  BackgroundLoad load(plan);
  REQUIRE(WaitUntil([&] { return WorkIn(site, "krems").calls > 100; }, seconds(10)));
  MarkAll(&site);
  site.DeclareOut({"krems"});
  std::this_thread::sleep_for(kAFewSeconds + seconds(1));
  CHECK(WorkIn(site, "krems").last_ms <= ToMilliseconds(kAFewSeconds));
  for (int i = 0; i < site.entry_count(); ++i) {
    CHECK(AddressesOf(site, i)["addresses"].size() == 2);
  }

  // The machines of a data centre that was out for long come back cold.
  for (const char* id : {"ib-1", "bl-1", "cd-1"}) site.Control(id, "/cold");
  MarkAll(&site);
  site.DeclareOut({});
  const bool returned = WaitUntil([&] { return WorkIn(site, "krems").calls > 100; }, kAFewSeconds);
  INFO("calls at krems since its return: " << WorkIn(site, "krems").calls);
  CHECK(returned);
  CheckAllRight(load.Stop());
  CHECK(site.UpstreamState("ib-1")["cold_overruns"] == 0);
  CHECK(site.UpstreamState("bl-1")["cold_overruns"] == 0);
}

// Guards against an instance that was paused, wakes late and still sends work by its old table.
TEST_CASE("an instance that wakes late obeys what it missed", "[data-centre-out]") {
  Site site(SmallPlan("wakes-late"));
  WarmUp(site, kReads, "/read");
  site.entry(0).Pause();
  const auto revision = site.DeclareOut({"krems"});
  REQUIRE(WaitForRevision(site, {1, 2}, revision, kAFewSeconds));
  // These requests wait in the paused instance's sockets.
  std::vector<std::future<standins::HttpResponse>> waiting;
  for (int i = 0; i < 10; ++i) {
    waiting.push_back(std::async(std::launch::async, [&site] {
      return Send(site.CallerAddress(0), "GET", std::string("/") + kReads + "/read", {}, "",
                  seconds(30));
    }));
  }
  std::this_thread::sleep_for(kAFewSeconds);
  MarkAll(&site);
  site.entry(0).Continue();
  for (auto& response : waiting) CHECK(response.get().head.status == 200);
  CHECK(WorkIn(site, "krems").calls == 0);
}

// Guards against a last data centre that is kept in service against the operators' word.
TEST_CASE("all data centres out is obeyed with not-run", "[data-centre-out][not-run]") {
  Site site(SmallPlan("all-out"));
  const auto revision = site.DeclareOut({"krems", "melk", "spitz"});
  REQUIRE(WaitForRevision(site, {0, 1, 2}, revision, kAFewSeconds));
  MarkAll(&site);
  const auto response = Send(site.CallerAddress(1), "GET", std::string("/") + kReads + "/read");
  CHECK(response.head.status == 503);
  CHECK(OutcomeOf(response) == "not-run");
  for (const char* data_centre : {"krems", "melk", "spitz"}) {
    CHECK(WorkIn(site, data_centre).calls == 0);
  }
}

}  // namespace
}  // namespace primroseweir::testing
