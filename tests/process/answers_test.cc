#include "caller/caller.h"
#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

constexpr std::uint64_t kMegabyte = 1'000'000;

// Runs `count` concurrent downloads through one entry instance. Returns the number of downloads per
// outcome, such as "cut=1 right=3 ".
std::string DownloadConcurrently(const Site& site, int count, std::uint64_t bytes) {
  standins::AddressCache addresses({site.CallerAddress(0)});
  std::vector<std::future<Outcome>> downloads;
  for (int i = 0; i < count; ++i) {
    downloads.push_back(std::async(std::launch::async, [&addresses, bytes, i] {
      standins::Caller caller("d" + std::to_string(i), &addresses);
      caller.set_call_timeout(seconds(60));
      return caller.Download(kDownloadService, "chart-" + std::to_string(i), bytes, 0).outcome;
    }));
  }
  std::map<std::string, int> outcome_counts;
  for (auto& download : downloads) ++outcome_counts[NameOf(download.get())];
  std::string text;
  for (const auto& [outcome, count] : outcome_counts)
    text += outcome + "=" + std::to_string(count) + " ";
  return text;
}

// Guards against an entry instance that buffers whole downloads, mixes up their contents or
// truncates them.
TEST_CASE("one instance forwards 100 downloads of 100 MB with less than 256 MiB of memory",
          "[whole-answers]") {
  SitePlan plan = SmallPlan("hundred-downloads");
  plan.data_centres = {"krems"};
  plan.seats = 1;
  plan.services[2].slots = 40;
  Site site(plan);
  WarmUp(site, kDownloadService, "/download/warm?size=1000");
  const Instant started = MonotonicNow();
  const auto outcomes = DownloadConcurrently(site, 100, 100 * kMegabyte);
  const auto elapsed = ToMilliseconds(MonotonicNow() - started);
  std::cout << "downloads=100 bytes_each=100000000 ms=" << elapsed
            << " max_resident_bytes=" << site.entry(0).MaxResidentBytes() << std::endl;
  CHECK(outcomes == "right=100 ");
  CHECK(site.entry(0).MaxResidentBytes() > 0);
  CHECK(site.entry(0).MaxResidentBytes() < 256ULL * 1024 * 1024);
}

// Guards against a download that is truncated because the connection to its upstream is reset.
TEST_CASE("downloads that are reset by an upstream are resumed at another upstream",
          "[whole-answers]") {
  Site site(SmallPlan("resumed"));
  WarmUp(site, kDownloadService, "/download/warm?size=1000");
  // A reset discards the bytes that the entry instance has not read yet, some megabytes. The rest
  // of a download is still shorter than `cut_at`, so that each download is reset exactly once.
  for (const std::string& id : site.UpstreamIds(kDownloadService)) {
    site.Control(id, "/modes", R"({"cut_at":19000000,"cut_count":2})");
  }
  CHECK(DownloadConcurrently(site, 2, 20 * kMegabyte) == "right=2 ");
}

// Guards against a response that is spliced from two versions of a file; it must be truncated
// instead. Here each upstream has a version of its own.
TEST_CASE("a download never combines two versions of a file", "[whole-answers]") {
  Site site(SmallPlan("two-versions"));
  WarmUp(site, kDownloadService, "/download/warm?size=1000");
  int version = 1;
  for (const std::string& id : site.UpstreamIds(kDownloadService)) {
    site.Control(id, "/modes",
                 R"({"cut_at":5000000,"cut_count":9,"version":)" + std::to_string(version++) + "}");
  }
  CHECK(DownloadConcurrently(site, 4, 20 * kMegabyte) == "cut=4 ");
}

// Guards against a late response that is taken for the response to the next request on the same
// connection.
TEST_CASE("late and lost responses never reach another request", "[whole-answers]") {
  SitePlan site_plan = SmallPlan("late");
  site_plan.services[0].service_ms = 25;
  Site site(site_plan);
  WarmUp(site, kReadService, "/read");
  standins::LoadPlan plan = MakeReadLoadPlan(site, 150);
  plan.concurrency = 24;
  plan.read_deadline_ms = 40;
  plan.call_timeout = seconds(2);
  BackgroundLoad load(plan);
  for (int i = 0; i < 6; ++i) {
    std::this_thread::sleep_for(milliseconds(500));
    site.Control("ib-1", "/modes", R"({"lose_answer_count":3,"straggle":3})");
    if (i == 3) site.Control("ib-2", "/silence", "out");
  }
  const auto result = load.Stop();
  const auto& reads = result.at("read");
  INFO(FormatKind("read", reads));
  CHECK(reads.Of(Outcome::kWrong) == 0);
  CHECK(reads.Of(Outcome::kCorrect) > reads.Count() / 2);
}

// Guards against calls that wait on an unresponsive connection until the caller times out.
TEST_CASE("reads succeed when open connections become unresponsive", "[whole-answers]") {
  Site site(SmallPlan("silent"));
  WarmUp(site, kReadService, "/read");
  BackgroundLoad load(MakeReadLoadPlan(site, 100));
  std::this_thread::sleep_for(seconds(1));
  const std::string direction = GENERATE("in", "out");
  site.Control("ib-1", "/silence", direction);
  std::this_thread::sleep_for(seconds(2));
  CheckAllCorrect(load.Stop());
}

}  // namespace
}  // namespace primroseweir::testing
