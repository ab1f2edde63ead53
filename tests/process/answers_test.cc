#include "caller/caller.h"
#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

constexpr std::uint64_t kMegabyte = 1'000'000;

// Downloads at once through one entry instance; how they ended, such as "cut=1 right=3 ".
std::string DownloadAtOnce(const Site& site, int count, std::uint64_t bytes) {
  standins::AddressCache book({site.CallerAddress(0)});
  std::vector<std::future<CallOutcome>> downloads;
  for (int i = 0; i < count; ++i) {
    downloads.push_back(std::async(std::launch::async, [&book, bytes, i] {
      standins::Caller caller("d" + std::to_string(i), &book);
      caller.set_call_timeout(seconds(60));
      return caller.Download(kDownloads, "chart-" + std::to_string(i), bytes, 0).end;
    }));
  }
  std::map<std::string, int> ends;
  for (auto& download : downloads) ++ends[NameOf(download.get())];
  std::string text;
  for (const auto& [end, count] : ends) text += end + "=" + std::to_string(count) + " ";
  return text;
}

// Guards against an entry instance that stores downloads, mixes them or cuts them.
TEST_CASE("a hundred downloads of 100 MB pass one instance in little memory", "[whole-answers]") {
  SitePlan plan = SmallPlan("hundred-downloads");
  plan.data_centres = {"krems"};
  plan.seats = 1;
  plan.services[2].slots = 40;
  Site site(plan);
  WarmUp(site, kDownloads, "/download/warm?size=1000");
  const Instant started = MonotonicNow();
  const auto ends = DownloadAtOnce(site, 100, 100 * kMegabyte);
  const auto elapsed = ToMilliseconds(MonotonicNow() - started);
  std::cout << "downloads=100 bytes_each=100000000 ms=" << elapsed
            << " max_resident_bytes=" << site.entry(0).MaxResidentBytes() << std::endl;
  CHECK(ends == "right=100 ");
  CHECK(site.entry(0).MaxResidentBytes() > 0);
  CHECK(site.entry(0).MaxResidentBytes() < 256ULL * 1024 * 1024);
}

// Guards against a download that ends early because its upstream breaks.
TEST_CASE("downloads that break at an upstream are resumed at another", "[whole-answers]") {
  Site site(SmallPlan("resumed"));
  WarmUp(site, kDownloads, "/download/warm?size=1000");
  // A reset discards what the entry instance has not read yet, some megabytes. What is left after a
  // cut stays below the cut's offset all the same, so that each download is cut exactly once.
  for (const std::string& id : site.UpstreamIds(kDownloads)) {
    site.Control(id, "/modes", R"({"cut_at":19000000,"cut_count":2})");
  }
  CHECK(DownloadAtOnce(site, 2, 20 * kMegabyte) == "right=2 ");
}

// Guards against an answer spliced from two versions: it must break off instead.
TEST_CASE("a download never joins two versions", "[whole-answers]") {
  Site site(SmallPlan("two-versions"));
  WarmUp(site, kDownloads, "/download/warm?size=1000");
  int version = 1;
  for (const std::string& id : site.UpstreamIds(kDownloads)) {
    site.Control(id, "/modes",
                 R"({"cut_at":5000000,"cut_count":9,"version":)" + std::to_string(version++) + "}");
  }
  CHECK(DownloadAtOnce(site, 4, 20 * kMegabyte) == "cut=4 ");
}

// Guards against a late answer that reaches the next request on the same connection.
TEST_CASE("late and lost answers never reach another request", "[whole-answers]") {
  SitePlan site_plan = SmallPlan("late");
  site_plan.services[0].service_ms = 25;
  Site site(site_plan);
  WarmUp(site, kReads, "/read");
  standins::LoadPlan plan = ReadLoad(site, 150);
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
  CHECK(reads.Of(CallOutcome::kIncorrect) == 0);
  CHECK(reads.Of(CallOutcome::kCorrect) > reads.Count() / 2);
}

// Guards against calls that wait for a dead connection until the caller gives up.
TEST_CASE("reads pass when open connections go silent", "[whole-answers]") {
  Site site(SmallPlan("silent"));
  WarmUp(site, kReads, "/read");
  BackgroundLoad load(ReadLoad(site, 100));
  std::this_thread::sleep_for(seconds(1));
  const std::string direction = GENERATE("in", "out");
  site.Control("ib-1", "/silence", direction);
  std::this_thread::sleep_for(seconds(2));
  CheckAllRight(load.Stop());
}

}  // namespace
}  // namespace primroseweir::testing
