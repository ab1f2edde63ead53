#include "demo/demo.h"

#include <algorithm>
#include <thread>

#include "primroseweir/base/error.h"

namespace primroseweir::demo {
namespace {

using standins::Outcome;

constexpr char kReadService[] = "ice-board";
constexpr char kBookingService[] = "booking-ledger";
constexpr char kDownloadService[] = "chart-distribution";
constexpr std::uint64_t kDownloadBytes = 100ULL * 1024 * 1024;
// At this rate the download takes about 14 s, so that a data centre can leave and return meanwhile.
constexpr std::uint64_t kDownloadBytesPerSecond = 7'500'000;
// Time limit for a data centre that is declared out to get its last new call, and for one that
// returns to get its first.
constexpr auto kMaxDataCentreChangeTime = std::chrono::seconds(5);
constexpr auto kDownloadStartTimeout = std::chrono::seconds(10);

void PrintStep(const std::string& step, bool is_correct, const std::string& fields) {
  std::cout << "step=" << step << " " << fields << " result=" << (is_correct ? "right" : "WRONG")
            << std::endl;
}

testing::SitePlan MakePlan() {
  testing::SitePlan plan = testing::DonaueisPlan("demo");
  plan.entries_per_data_centre = 2;
  return plan;
}

std::string FirstLine(const std::string& text) { return text.substr(0, text.find('\n')); }

}  // namespace

Demo::Demo()
    : site_(MakePlan()), address_cache_(site_.CallerAddresses()), caller_("demo", &address_cache_) {
  PrintStep("start", true,
            "entry_instances=" + std::to_string(site_.entry_count()) +
                " network=" + site_.network().prefix() + "0/24 pids=" + site_.PidsText());
}

bool Demo::Run() {
  if (!RequestAddresses() || !ReadIceBoard() || !Book()) return false;
  const std::string data_centre = StartDownload();
  bool is_correct = !data_centre.empty();
  is_correct = is_correct && DeclareDataCentreOut(data_centre);
  is_correct = is_correct && ReturnDataCentre(data_centre);
  is_correct = FinishDownload() && is_correct;
  return FinishLoad() && is_correct;
}

bool Demo::RequestAddresses() {
  const auto response = address_cache_.Current();
  const bool is_correct =
      response.ok() && static_cast<int>(response->addresses.size()) == site_.entry_count();
  std::string first_address = "none";
  if (response.ok()) first_address = response->addresses.front().ToString();
  const auto count = response.ok() ? response->addresses.size() : 0;
  PrintStep("address", is_correct, "use=" + first_address + " addresses=" + std::to_string(count));
  return is_correct;
}

bool Demo::ReadIceBoard() {
  const auto report = caller_.Read(kReadService);
  const bool is_correct = report.outcome == Outcome::kCorrect;
  PrintStep("read", is_correct,
            "status=" + std::to_string(report.status) + " ms=" +
                std::to_string(ToMilliseconds(report.latency)) + " " + FirstLine(report.detail));
  return is_correct;
}

bool Demo::Book() {
  const auto report = caller_.Book(kBookingService, "demo-booking");
  const int executions = site_.Executions(kBookingService)["demo-booking"];
  const bool is_correct = report.outcome == Outcome::kCorrect && executions == 1;
  PrintStep("booking", is_correct,
            "status=" + std::to_string(report.status) +
                " ms=" + std::to_string(ToMilliseconds(report.latency)) +
                " executions=" + std::to_string(executions) + " " + FirstLine(report.detail));
  return is_correct;
}

std::string Demo::StartDownload() {
  download_report_ = std::async(std::launch::async, [this] {
    standins::Caller caller("demo-download", &address_cache_);
    return caller.Download(kDownloadService, "chart", kDownloadBytes, kDownloadBytesPerSecond);
  });
  std::string upstream;
  testing::WaitUntil(
      [this, &upstream] {
        for (const std::string& id : site_.UpstreamIds(kDownloadService)) {
          if (site_.UpstreamState(id)["in_flight"] > 0) upstream = id;
        }
        return !upstream.empty();
      },
      kDownloadStartTimeout);
  load_result_ = std::async(std::launch::async, [this] {
    standins::LoadPlan plan;
    plan.name = "demo-load";
    plan.addresses = site_.CallerAddresses();
    plan.read_service = kReadService;
    plan.booking_service = kBookingService;
    plan.booking_share = 0.1;
    plan.rate = 300;
    plan.duration = std::chrono::minutes(2);
    return standins::RunLoad(plan, stop_load_);
  });
  std::string data_centre = upstream.empty() ? "" : site_.UpstreamDataCentre(upstream);
  PrintStep("download_started", !upstream.empty(),
            "bytes=" + std::to_string(kDownloadBytes) + " upstream=" + upstream +
                " data_centre=" + data_centre);
  return data_centre;
}

bool Demo::DeclareDataCentreOut(const std::string& data_centre) {
  MarkUpstreams(data_centre);
  const auto revision = site_.DeclareOut({data_centre});
  // Waits a second longer than the time limit, so that a call that arrives too late is detected.
  std::this_thread::sleep_for(kMaxDataCentreChangeTime + std::chrono::seconds(1));
  const std::int64_t last_call_ms = LastCallMilliseconds(data_centre);
  const bool is_correct = last_call_ms <= ToMilliseconds(kMaxDataCentreChangeTime);
  PrintStep("data_centre_out", is_correct,
            "data_centre=" + data_centre + " revision=" + std::to_string(revision) +
                " last_new_work_ms=" + std::to_string(last_call_ms));
  return is_correct;
}

bool Demo::ReturnDataCentre(const std::string& data_centre) {
  MarkUpstreams(data_centre);
  const Instant started_at = MonotonicNow();
  const auto revision = site_.DeclareOut({});
  const bool is_correct = testing::WaitUntil(
      [this, &data_centre] { return CallsSinceMark(data_centre) > 0; }, kMaxDataCentreChangeTime);
  PrintStep(
      "data_centre_back", is_correct,
      "data_centre=" + data_centre + " revision=" + std::to_string(revision) +
          " first_new_work_ms=" + std::to_string(ToMilliseconds(MonotonicNow() - started_at)));
  return is_correct;
}

bool Demo::FinishDownload() {
  const auto report = download_report_.get();
  const bool is_correct =
      report.outcome == Outcome::kCorrect && report.body_bytes == kDownloadBytes;
  PrintStep("download", is_correct,
            "status=" + std::to_string(report.status) +
                " bytes=" + std::to_string(report.body_bytes) + " end=" + NameOf(report.outcome) +
                " ms=" + std::to_string(ToMilliseconds(report.latency)));
  return is_correct;
}

bool Demo::FinishLoad() {
  stop_load_ = true;
  bool all_correct = true;
  for (const auto& [kind, result] : load_result_.get()) {
    const bool is_correct = result.Of(Outcome::kCorrect) == result.Count();
    PrintStep("load", is_correct, FormatKind(kind, result));
    for (const std::string& failure : result.failures) std::cerr << "failure=" << failure << "\n";
    all_correct = all_correct && is_correct;
  }
  int repeated_bookings = 0;
  const auto executions = site_.Executions(kBookingService);
  for (const auto& [booking, count] : executions) repeated_bookings += count > 1 ? 1 : 0;
  PrintStep("ledger", repeated_bookings == 0,
            "bookings=" + std::to_string(executions.size()) +
                " run_twice=" + std::to_string(repeated_bookings));
  return all_correct && repeated_bookings == 0;
}

std::uint64_t Demo::CallsSinceMark(const std::string& data_centre) const {
  std::uint64_t calls = 0;
  for (const char* service : {kReadService, kBookingService, kDownloadService}) {
    for (const std::string& id : site_.UpstreamIds(service)) {
      if (site_.UpstreamDataCentre(id) != data_centre) continue;
      calls += site_.UpstreamState(id)["since_mark"].get<std::uint64_t>();
    }
  }
  return calls;
}

std::int64_t Demo::LastCallMilliseconds(const std::string& data_centre) const {
  std::int64_t last_call_ms = 0;
  for (const char* service : {kReadService, kBookingService, kDownloadService}) {
    for (const std::string& id : site_.UpstreamIds(service)) {
      if (site_.UpstreamDataCentre(id) != data_centre) continue;
      last_call_ms =
          std::max(last_call_ms, site_.UpstreamState(id)["last_after_mark_ms"].get<std::int64_t>());
    }
  }
  return last_call_ms;
}

void Demo::MarkUpstreams(const std::string& data_centre) {
  for (const char* service : {kReadService, kBookingService, kDownloadService}) {
    for (const std::string& id : site_.UpstreamIds(service)) {
      if (site_.UpstreamDataCentre(id) == data_centre) site_.Control(id, "/mark");
    }
  }
}

}  // namespace primroseweir::demo
