#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

// Returns what the upstreams of the read service counted, the calls and members that each instance
// counts, and why it uses the upstreams or not: an upstream without calls may have no instance that
// may call it, or only one that has no callers.
std::string DescribeReadUpstreams(const Site& site) {
  std::string text;
  for (const std::string& id : site.UpstreamIds(kReadService)) {
    text += id + " " + site.UpstreamState(id).dump() + "\n";
  }
  for (int index = 0; index < site.entry_count(); ++index) {
    text += "instance " + std::to_string(index) + " in " + site.DataCentreOf(index) + " " +
            site.FetchStatus(index).dump() + "\naddresses " + AddressesOf(site, index).dump() +
            "\n";
    const auto explanation = site.Admin(index, std::string("/explain?service=") + kReadService);
    text += "instance " + std::to_string(index) + " " +
            (explanation.ok() ? explanation->body : std::string(explanation.status().message())) +
            "\n";
  }
  return text;
}

// Guards against new calls to an upstream that reports itself as leaving or that the instance list
// shows as leaving, and against calls that fail meanwhile.
TEST_CASE("a leaving upstream gets no new calls", "[upstream-leaving]") {
  Site site(SmallPlan("leaving"));
  WarmUp(site, kReadService, "/read");
  BackgroundLoad load(MakeReadLoadPlan(site, 300));
  const bool self_reported = GENERATE(true, false);
  CAPTURE(self_reported);
  const bool is_called =
      WaitUntil([&] { return site.UpstreamState("ib-2")["since_mark"] > 50; }, seconds(10));
  if (!is_called) UNSCOPED_INFO(DescribeReadUpstreams(site));
  REQUIRE(is_called);
  MarkAllUpstreams(&site);
  if (self_reported) {
    site.Control("ib-2", "/modes", R"({"leaving":true})");
  } else {
    site.SetListedState("ib-2", "leaving");
  }
  std::this_thread::sleep_for(kMaxReactionTime + seconds(1));
  const Site::Json state = site.UpstreamState("ib-2");
  CHECK(state["last_after_mark_ms"] <= ToMilliseconds(kMaxReactionTime));
  CHECK(site.UpstreamState("ib-1")["last_after_mark_ms"] > ToMilliseconds(kMaxReactionTime));
  CheckAllCorrect(load.Stop());
}

// Guards against a fleet that sends a cold upstream more concurrent calls than it can serve, when
// it first uses the upstream and after a crash of the upstream.
TEST_CASE("cold upstreams warm up without being overrun", "[cold-start]") {
  SitePlan plan = SmallPlan("cold-start");
  for (ServicePlan& service : plan.services) service.cold = true;
  // About a third of the slots are busy, so that round-robin over all upstreams would overrun a
  // cold one.
  plan.services[0].service_ms = 20;
  Site site(plan);
  standins::LoadPlan load_plan = MakeReadLoadPlan(site, 300);
  load_plan.concurrency = 24;
  BackgroundLoad load(load_plan);
  const auto all_warm = [&] {
    for (const std::string& id : site.UpstreamIds(kReadService)) {
      if (site.UpstreamState(id)["cold"] == true) return false;
    }
    return true;
  };
  CHECK(WaitUntil(all_warm, seconds(15)));
  CHECK(site.SumCounter(kReadService, "cold_overruns") == 0);

  site.upstream("ib-1").Kill();
  std::this_thread::sleep_for(milliseconds(500));
  site.RestartUpstream("ib-1");
  CHECK(WaitUntil(all_warm, seconds(15)));
  CHECK(site.UpstreamState("ib-1")["cold_overruns"] == 0);
  CheckAllCorrect(load.Stop());
}

// Guards against an upstream that became cold and stays collapsed because it still gets the full
// load.
TEST_CASE("an upstream that becomes cold without reporting it recovers", "[cold-start]") {
  SitePlan plan = SmallPlan("turns-cold");
  plan.services[0].service_ms = 15;
  Site site(plan);
  WarmUp(site, kReadService, "/read");
  standins::LoadPlan load_plan = MakeReadLoadPlan(site, 500);
  load_plan.concurrency = 32;
  BackgroundLoad load(load_plan);
  std::this_thread::sleep_for(seconds(1));
  site.Control("ib-2", "/cold");
  CHECK(WaitUntil([&] { return site.UpstreamState("ib-2")["cold"] == false; }, seconds(20)));
  const auto result = load.Stop();
  CHECK(result.at("read").Of(Outcome::kWrong) == 0);
  CHECK(result.at("read").Of(Outcome::kCorrect) == result.at("read").Count());
}

// Guards against probes that take more than 1% of the slot time of an upstream, summed over the
// fleet and across a restart of an instance.
TEST_CASE("an idle fleet probes within its budget", "[probe-budget]") {
  SitePlan plan = SmallPlan("probe-budget");
  plan.services[1].probe = false;
  Site site(plan);
  std::this_thread::sleep_for(seconds(4));
  site.RestartEntry(1);
  std::this_thread::sleep_for(seconds(4));
  const Instant started = MonotonicNow();
  const std::uint64_t before = site.UpstreamState("ib-1")["probes"];
  std::this_thread::sleep_for(seconds(8));
  const double window = std::chrono::duration<double>(MonotonicNow() - started).count();
  const std::uint64_t probes = site.UpstreamState("ib-1")["probes"].get<std::uint64_t>() - before;
  const double budget_per_second = 0.01 * 6 / 0.006;
  constexpr double kSeats = 6;
  CHECK(static_cast<double>(probes) <= budget_per_second * window + kSeats);
  CHECK(probes > 0);
  // The instance list declares no probe for this service.
  CHECK(site.SumCounter(kBookingService, "probes") == 0);
}

// Guards against a request that crashes one upstream after another as it is retried or sent again.
TEST_CASE("a request that crashes upstreams is refused after a few crashes") {
  SitePlan plan = SmallPlan("crash-guard");
  plan.services[0].upstreams = 9;
  Site site(plan);
  const std::string target = std::string("/") + kReadService + "/crash/it";
  standins::HttpResponse last;
  for (int i = 0; i < 12; ++i) {
    last = Send(site.CallerAddress(i % 3), "GET", target);
    std::this_thread::sleep_for(milliseconds(50));
  }
  int crashed = 0;
  for (const std::string& id : site.UpstreamIds(kReadService)) {
    if (!site.upstream(id).Running()) ++crashed;
  }
  CHECK(crashed >= 1);
  // Two crashes, plus one for each instance that started the call before it learned of them.
  CHECK(crashed <= 2 + site.entry_count());
  CHECK(OutcomeOf(last) == "not-run");
  CHECK(Send(site.CallerAddress(0), "GET", std::string("/") + kReadService + "/read").head.status ==
        200);
}

// Guards against retries that multiply at each hop of a chain of calls.
TEST_CASE("a failure at the end of a chain of eight calls is retried at most once in total") {
  SitePlan plan;
  plan.name = "chain";
  std::string chain;
  for (int i = 1; i <= 8; ++i) {
    ServicePlan service;
    service.name = "level-" + std::to_string(i);
    service.prefix = "l" + std::to_string(i);
    if (i < 8) service.depends_on = {"level-" + std::to_string(i + 1)};
    if (i > 1) chain += (chain.empty() ? "" : "/") + service.name;
    plan.services.push_back(service);
  }
  Site site(plan);
  const std::string target =
      "/level-1/nested?via=" + site.CallerAddress(1).ToString() + "&chain=" + chain;
  const auto response = Send(site.CallerAddress(0), "GET", target);
  CHECK(response.head.status == 200);
  const auto executed = site.SumCounter("level-8", "executed");
  CHECK(executed == 1);
  for (const std::string& id : site.UpstreamIds("level-8")) {
    site.Control(id, "/modes", R"({"lose_answer_count":50})");
  }
  CHECK(Send(site.CallerAddress(0), "GET", target).head.status >= 500);
  // At most two executions, regardless of the depth of the chain.
  CHECK(site.SumCounter("level-8", "executed") - executed <= 2);
}

}  // namespace
}  // namespace primroseweir::testing
