#include "demo/demo.h"

#include <algorithm>
#include <thread>

#include "primroseweir/base/error.h"

namespace primroseweir::demo {
namespace {

using standins::CallOutcome;

constexpr char kReads[] = "ice-board";
constexpr char kBookings[] = "booking-ledger";
constexpr char kDownloads[] = "chart-distribution";
constexpr std::uint64_t kDownloadBytes = 100ULL * 1024 * 1024;
// The download takes about 14 s, so that a data centre can leave and return meanwhile.
constexpr std::uint64_t kDownloadRate = 7'500'000;
// Bound of promises 3 and 9.
constexpr auto kAFewSeconds = std::chrono::seconds(5);
constexpr auto kDownloadStart = std::chrono::seconds(10);

void PrintStep(const std::string& step, bool right, const std::string& fields) {
  std::cout << "step=" << step << " " << fields << " result=" << (right ? "right" : "WRONG")
            << std::endl;
}

testing::SitePlan MakePlan() {
  testing::SitePlan plan = testing::DonaueisPlan("demo");
  plan.entries_per_data_centre = 2;
  return plan;
}

std::string FirstLine(const std::string& text) { return text.substr(0, text.find('\n')); }

}  // namespace

Demo::Demo() : site_(MakePlan()), book_(site_.CallerAddresses()), caller_("demo", &book_) {
  PrintStep("start", true,
            "entry_instances=" + std::to_string(site_.entry_count()) +
                " network=" + site_.network().prefix() + "0/24 pids=" + site_.PidsText());
}

bool Demo::Run() {
  if (!AskAddresses() || !ReadIceBoard() || !Book()) return false;
  const std::string data_centre = StartDownload();
  bool right = !data_centre.empty();
  right = right && TakeOut(data_centre);
  right = right && BringBack(data_centre);
  right = FinishDownload() && right;
  return FinishLoad() && right;
}

bool Demo::AskAddresses() {
  const auto response = book_.Current();
  const bool right =
      response.ok() && static_cast<int>(response->addresses.size()) == site_.entry_count();
  std::string use = "none";
  if (response.ok()) use = response->addresses.front().ToString();
  const auto count = response.ok() ? response->addresses.size() : 0;
  PrintStep("address", right, "use=" + use + " addresses=" + std::to_string(count));
  return right;
}

bool Demo::ReadIceBoard() {
  const auto report = caller_.Read(kReads);
  const bool right = report.end == CallOutcome::kCorrect;
  PrintStep("read", right,
            "status=" + std::to_string(report.status) + " ms=" +
                std::to_string(ToMilliseconds(report.latency)) + " " + FirstLine(report.detail));
  return right;
}

bool Demo::Book() {
  const auto report = caller_.Book(kBookings, "demo-booking");
  const int executions = site_.Executions(kBookings)["demo-booking"];
  const bool right = report.end == CallOutcome::kCorrect && executions == 1;
  PrintStep("booking", right,
            "status=" + std::to_string(report.status) +
                " ms=" + std::to_string(ToMilliseconds(report.latency)) +
                " executions=" + std::to_string(executions) + " " + FirstLine(report.detail));
  return right;
}

std::string Demo::StartDownload() {
  download_ = std::async(std::launch::async, [this] {
    standins::Caller caller("demo-download", &book_);
    return caller.Download(kDownloads, "chart", kDownloadBytes, kDownloadRate);
  });
  std::string upstream;
  testing::WaitUntil(
      [this, &upstream] {
        for (const std::string& id : site_.UpstreamIds(kDownloads)) {
          if (site_.UpstreamState(id)["in_flight"] > 0) upstream = id;
        }
        return !upstream.empty();
      },
      kDownloadStart);
  load_ = std::async(std::launch::async, [this] {
    standins::LoadPlan plan;
    plan.name = "demo-load";
    plan.addresses = site_.CallerAddresses();
    plan.read_service = kReads;
    plan.booking_service = kBookings;
    plan.booking_share = 0.1;
    plan.rate = 300;
    plan.duration = std::chrono::minutes(2);
    return standins::RunLoad(plan, stop_);
  });
  std::string data_centre = upstream.empty() ? "" : site_.UpstreamDataCentre(upstream);
  PrintStep("download_started", !upstream.empty(),
            "bytes=" + std::to_string(kDownloadBytes) + " upstream=" + upstream +
                " data_centre=" + data_centre);
  return data_centre;
}

bool Demo::TakeOut(const std::string& data_centre) {
  Mark(data_centre);
  const auto revision = site_.DeclareOut({data_centre});
  // Looks a second longer than the promise allows, so that later work would be seen.
  std::this_thread::sleep_for(kAFewSeconds + std::chrono::seconds(1));
  const std::int64_t last = LastWorkMilliseconds(data_centre);
  const bool right = last <= ToMilliseconds(kAFewSeconds);
  PrintStep("data_centre_out", right,
            "data_centre=" + data_centre + " revision=" + std::to_string(revision) +
                " last_new_work_ms=" + std::to_string(last));
  return right;
}

bool Demo::BringBack(const std::string& data_centre) {
  Mark(data_centre);
  const Instant started = MonotonicNow();
  const auto revision = site_.DeclareOut({});
  const bool right = testing::WaitUntil(
      [this, &data_centre] { return WorkSinceMark(data_centre) > 0; }, kAFewSeconds);
  PrintStep("data_centre_back", right,
            "data_centre=" + data_centre + " revision=" + std::to_string(revision) +
                " first_new_work_ms=" + std::to_string(ToMilliseconds(MonotonicNow() - started)));
  return right;
}

bool Demo::FinishDownload() {
  const auto report = download_.get();
  const bool right = report.end == CallOutcome::kCorrect && report.body_bytes == kDownloadBytes;
  PrintStep("download", right,
            "status=" + std::to_string(report.status) +
                " bytes=" + std::to_string(report.body_bytes) + " end=" + NameOf(report.end) +
                " ms=" + std::to_string(ToMilliseconds(report.latency)));
  return right;
}

bool Demo::FinishLoad() {
  stop_ = true;
  bool all_right = true;
  for (const auto& [kind, result] : load_.get()) {
    const bool right = result.Of(CallOutcome::kCorrect) == result.Count();
    PrintStep("load", right, FormatKind(kind, result));
    for (const std::string& failure : result.failures) std::cerr << "failure=" << failure << "\n";
    all_right = all_right && right;
  }
  int repeated = 0;
  const auto executions = site_.Executions(kBookings);
  for (const auto& [booking, count] : executions) repeated += count > 1 ? 1 : 0;
  PrintStep(
      "ledger", repeated == 0,
      "bookings=" + std::to_string(executions.size()) + " run_twice=" + std::to_string(repeated));
  return all_right && repeated == 0;
}

std::uint64_t Demo::WorkSinceMark(const std::string& data_centre) const {
  std::uint64_t work = 0;
  for (const char* service : {kReads, kBookings, kDownloads}) {
    for (const std::string& id : site_.UpstreamIds(service)) {
      if (site_.UpstreamDataCentre(id) != data_centre) continue;
      work += site_.UpstreamState(id)["since_mark"].get<std::uint64_t>();
    }
  }
  return work;
}

std::int64_t Demo::LastWorkMilliseconds(const std::string& data_centre) const {
  std::int64_t last = 0;
  for (const char* service : {kReads, kBookings, kDownloads}) {
    for (const std::string& id : site_.UpstreamIds(service)) {
      if (site_.UpstreamDataCentre(id) != data_centre) continue;
      last = std::max(last, site_.UpstreamState(id)["last_after_mark_ms"].get<std::int64_t>());
    }
  }
  return last;
}

void Demo::Mark(const std::string& data_centre) {
  for (const char* service : {kReads, kBookings, kDownloads}) {
    for (const std::string& id : site_.UpstreamIds(service)) {
      if (site_.UpstreamDataCentre(id) == data_centre) site_.Control(id, "/mark");
    }
  }
}

}  // namespace primroseweir::demo
