#include <signal.h>

#include "caller/caller.h"
#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

// A leaving instance serves for the 30 s for which its last address answers are valid.
constexpr auto kResponsesValid = seconds(30);

bool Names(const Site& site, int asked, int other) {
  const std::string address = site.CallerAddress(other).ToString();
  const Site::Json response = AddressesOf(site, asked);
  for (const auto& named : response["addresses"]) {
    if (named == address) return true;
  }
  return false;
}

// Guards against planned stops that cut calls: all instances are replaced under load while a
// download that outlasts the 30 s runs through one of them.
TEST_CASE("all instances are replaced under load without a failed call", "[graceful-stop]") {
  SitePlan site_plan = SmallPlan("replaced");
  site_plan.seats = 12;
  Site site(site_plan);
  WarmUp(site, kReads, "/read");
  standins::LoadPlan plan = ReadLoad(site, 150);
  plan.booking_share = 0.2;
  BackgroundLoad load(plan);
  auto download = std::async(std::launch::async, [&site] {
    standins::AddressCache book({site.CallerAddress(0)});
    standins::Caller caller("long", &book);
    return caller.Download(kDownloads, "long", 38'000'000, 1'000'000);
  });
  std::this_thread::sleep_for(seconds(1));
  const Instant started = MonotonicNow();
  for (int old = 0; old < 3; ++old) {
    const int added = site.StartEntry(site.DataCentreOf(old), 6 + old);
    site.entry(old).Signal(SIGTERM);
    CHECK(WaitUntil([&] { return !Names(site, added, old); }, kAFewSeconds));
  }
  for (int old = 1; old < 3; ++old) {
    CHECK(site.entry(old).WaitForExit(kResponsesValid + seconds(15)) == 0);
  }
  CHECK(MonotonicNow() - started >= kResponsesValid);
  const auto report = download.get();
  INFO(report.detail);
  CHECK(report.end == CallOutcome::kCorrect);
  CHECK(report.body_bytes == 38'000'000);
  CHECK(site.entry(0).WaitForExit(seconds(10)) == 0);
  const auto result = load.Stop();
  CheckAllRight(result);
  CHECK(LedgerFaults(site, result.at("booking").bookings) == "");
  for (const auto& [kind, kind_result] : result) {
    std::cout << FormatKind(kind, kind_result) << std::endl;
  }
}

// Guards against an instance that can't be ended by its operator.
TEST_CASE("a second SIGTERM ends an instance at once", "[graceful-stop]") {
  Site site(SmallPlan("second-term"));
  site.entry(1).Signal(SIGTERM);
  CHECK(!site.entry(1).WaitForExit(seconds(1)).has_value());
  site.entry(1).Signal(SIGTERM);
  CHECK(site.entry(1).WaitForExit(kAFewSeconds).has_value());
}

// Guards against callers that lose calls when an instance dies without a word.
TEST_CASE("callers lose no read when an instance is killed") {
  Site site(SmallPlan("killed"));
  WarmUp(site, kReads, "/read");
  BackgroundLoad load(ReadLoad(site, 150));
  std::this_thread::sleep_for(seconds(1));
  site.entry(1).Kill();
  CHECK(WaitUntil([&] { return !Names(site, 0, 1); }, kAFewSeconds));
  site.RestartEntry(1);
  CHECK(WaitUntil([&] { return Names(site, 0, 1); }, kAFewSeconds));
  CheckAllRight(load.Stop());
}

}  // namespace
}  // namespace primroseweir::testing
