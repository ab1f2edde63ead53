#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

// Guards against calls that reach a data centre after operators declared it out, against calls that
// fail meanwhile, and against an overrun of its cold upstreams when it returns.
TEST_CASE("a data centre declared out under load gets no new calls and returns cold",
          "[data-centre-out][cold-start]") {
  Site site(SmallPlan("data-centre-out"));
  WarmUp(site, kReadService, "/read");
  standins::LoadPlan plan = MakeReadLoadPlan(site, 300);
  plan.booking_share = 0.1;
  plan.concurrency = 24;
  BackgroundLoad load(plan);
  REQUIRE(WaitUntil([&] { return CallsSinceMarkIn(site, "krems").calls > 100; }, seconds(10)));
  MarkAllUpstreams(&site);
  site.DeclareOut({"krems"});
  std::this_thread::sleep_for(kMaxReactionTime + seconds(1));
  CHECK(CallsSinceMarkIn(site, "krems").last_ms <= ToMilliseconds(kMaxReactionTime));
  for (int i = 0; i < site.entry_count(); ++i) {
    CHECK(AddressesOf(site, i)["addresses"].size() == 2);
  }

  // Upstreams of a data centre that was out for a long time are cold when it returns.
  for (const char* id : {"ib-1", "bl-1", "cd-1"}) site.Control(id, "/cold");
  MarkAllUpstreams(&site);
  site.DeclareOut({});
  const bool returned =
      WaitUntil([&] { return CallsSinceMarkIn(site, "krems").calls > 100; }, kMaxReactionTime);
  INFO("calls in krems since its return: " << CallsSinceMarkIn(site, "krems").calls);
  CHECK(returned);
  CheckAllCorrect(load.Stop());
  CHECK(site.UpstreamState("ib-1")["cold_overruns"] == 0);
  CHECK(site.UpstreamState("bl-1")["cold_overruns"] == 0);
}

// Guards against an instance that resumes after a pause and still routes calls by its old table.
TEST_CASE("a resumed instance applies the changes that it missed before it routes calls",
          "[data-centre-out]") {
  Site site(SmallPlan("wakes-late"));
  WarmUp(site, kReadService, "/read");
  site.entry(0).Pause();
  const auto revision = site.DeclareOut({"krems"});
  REQUIRE(WaitForRevision(site, {1, 2}, revision, kMaxReactionTime));
  // These requests wait in the socket buffers of the paused instance.
  std::vector<std::future<standins::HttpResponse>> pending_responses;
  for (int i = 0; i < 10; ++i) {
    pending_responses.push_back(std::async(std::launch::async, [&site] {
      return Send(site.CallerAddress(0), "GET", std::string("/") + kReadService + "/read", {}, "",
                  seconds(30));
    }));
  }
  std::this_thread::sleep_for(kMaxReactionTime);
  MarkAllUpstreams(&site);
  site.entry(0).Continue();
  for (auto& response : pending_responses) CHECK(response.get().head.status == 200);
  CHECK(CallsSinceMarkIn(site, "krems").calls == 0);
}

// Guards against an instance that keeps the last data centre in service although operators declared
// all of them out.
TEST_CASE("calls are refused as not-run when all data centres are out",
          "[data-centre-out][not-run]") {
  Site site(SmallPlan("all-out"));
  const auto revision = site.DeclareOut({"krems", "melk", "spitz"});
  REQUIRE(WaitForRevision(site, {0, 1, 2}, revision, kMaxReactionTime));
  MarkAllUpstreams(&site);
  const auto response =
      Send(site.CallerAddress(1), "GET", std::string("/") + kReadService + "/read");
  CHECK(response.head.status == 503);
  CHECK(OutcomeOf(response) == "not-run");
  for (const char* data_centre : {"krems", "melk", "spitz"}) {
    CHECK(CallsSinceMarkIn(site, data_centre).calls == 0);
  }
}

}  // namespace
}  // namespace primroseweir::testing
