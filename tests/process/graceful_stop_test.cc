#include <signal.h>

#include "caller/caller.h"
#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

// Validity period of address responses. An instance that is stopping serves at least that long,
// because callers may use its address until then.
constexpr auto kAddressValidity = seconds(30);

// Returns whether the address response of instance `responder` lists instance `other`.
bool IsListed(const Site& site, int responder, int other) {
  const std::string address = site.CallerAddress(other).ToString();
  const Site::Json response = AddressesOf(site, responder);
  for (const auto& listed : response["addresses"]) {
    if (listed == address) return true;
  }
  return false;
}

// Guards against planned stops that abort calls: all instances are replaced under load while a
// download that takes longer than 30 s runs through one of them.
TEST_CASE("all instances are replaced under load without a failed call", "[graceful-stop]") {
  SitePlan site_plan = SmallPlan("replaced");
  site_plan.seats = 12;
  Site site(site_plan);
  WarmUp(site, kReadService, "/read");
  standins::LoadPlan plan = MakeReadLoadPlan(site, 150);
  plan.booking_share = 0.2;
  BackgroundLoad load(plan);
  auto download = std::async(std::launch::async, [&site] {
    standins::AddressCache addresses({site.CallerAddress(0)});
    standins::Caller caller("long", &addresses);
    return caller.Download(kDownloadService, "long", 38'000'000, 1'000'000);
  });
  std::this_thread::sleep_for(seconds(1));
  const Instant started = MonotonicNow();
  for (int replaced = 0; replaced < 3; ++replaced) {
    const int added = site.StartEntry(site.DataCentreOf(replaced), 6 + replaced);
    site.entry(replaced).Signal(SIGTERM);
    CHECK(WaitUntil([&] { return !IsListed(site, added, replaced); }, kMaxReactionTime));
  }
  for (int replaced = 1; replaced < 3; ++replaced) {
    CHECK(site.entry(replaced).WaitForExit(kAddressValidity + seconds(15)) == 0);
  }
  CHECK(MonotonicNow() - started >= kAddressValidity);
  const auto report = download.get();
  INFO(report.detail);
  CHECK(report.outcome == Outcome::kCorrect);
  CHECK(report.body_bytes == 38'000'000);
  CHECK(site.entry(0).WaitForExit(seconds(10)) == 0);
  const auto result = load.Stop();
  CheckAllCorrect(result);
  CHECK(FindLedgerMismatches(site, result.at("booking").bookings) == "");
  for (const auto& [kind, kind_result] : result) {
    std::cout << FormatKind(kind, kind_result) << std::endl;
  }
}

// Guards against an instance that its operator can't stop with SIGTERM before its drain ends.
TEST_CASE("a second SIGTERM stops an instance immediately", "[graceful-stop]") {
  Site site(SmallPlan("second-term"));
  site.entry(1).Signal(SIGTERM);
  CHECK(!site.entry(1).WaitForExit(seconds(1)).has_value());
  site.entry(1).Signal(SIGTERM);
  CHECK(site.entry(1).WaitForExit(kMaxReactionTime).has_value());
}

// Guards against failed calls when an instance is killed without a graceful stop.
TEST_CASE("no read fails when an instance is killed") {
  Site site(SmallPlan("killed"));
  WarmUp(site, kReadService, "/read");
  BackgroundLoad load(MakeReadLoadPlan(site, 150));
  std::this_thread::sleep_for(seconds(1));
  site.entry(1).Kill();
  CHECK(WaitUntil([&] { return !IsListed(site, 0, 1); }, kMaxReactionTime));
  site.RestartEntry(1);
  CHECK(WaitUntil([&] { return IsListed(site, 0, 1); }, kMaxReactionTime));
  CheckAllCorrect(load.Stop());
}

}  // namespace
}  // namespace primroseweir::testing
