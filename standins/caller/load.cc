#include "caller/load.h"

#include <algorithm>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "caller/caller.h"
#include "primroseweir/base/random.h"

namespace primroseweir::standins {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxRecordedFailures = 10;
constexpr auto kStopCheckPeriod = std::chrono::milliseconds(20);
constexpr Outcome kOutcomes[] = {Outcome::kCorrect,   Outcome::kNotRun, Outcome::kUnknown,
                                 Outcome::kTruncated, Outcome::kWrong,  Outcome::kUnreachable};

// State shared by the threads of one load.
struct Shared {
  const LoadPlan& plan;
  const std::atomic<bool>& stop;
  AddressCache address_cache;
  Instant started;
  std::atomic<std::uint64_t> next_call{0};
  std::mutex mutex;
  LoadResult result;
};

double InMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void RecordCall(const std::string& kind, const CallReport& report, Duration latency,
                Shared* shared) {
  const std::lock_guard<std::mutex> lock(shared->mutex);
  KindResult& result = shared->result[kind];
  ++result.outcomes[report.outcome];
  if (report.attempts > 1) ++result.retried;
  result.body_bytes += report.body_bytes;
  result.latencies.push_back(latency);
  if (report.outcome == Outcome::kCorrect || result.failures.size() >= kMaxRecordedFailures) return;
  result.failures.push_back(NameOf(report.outcome) + " " + report.detail);
}

// Sends one call of a random kind and records its result. The latency counts from `due`.
void SendCall(Caller* caller, Random* random, const std::string& booking, Instant due,
              Shared* shared) {
  const LoadPlan& plan = shared->plan;
  const double draw = random->UniformUnit();
  std::string kind = "read";
  CallReport report;
  if (draw < plan.booking_share) {
    kind = "booking";
    report = caller->Book(plan.booking_service, booking);
    const std::lock_guard<std::mutex> lock(shared->mutex);
    shared->result[kind].bookings[booking] = report.outcome;
  } else if (draw < plan.booking_share + plan.download_share) {
    kind = "download";
    report =
        caller->Download(plan.download_service, booking, plan.download_bytes, plan.download_rate);
  } else {
    report = caller->Read(plan.read_service);
  }
  RecordCall(kind, report, MonotonicNow() - due, shared);
}

// Waits until `due`; returns false if the load is stopped first.
bool WaitUntil(Instant due, const std::atomic<bool>& stop) {
  while (!stop) {
    const Instant now = MonotonicNow();
    if (now >= due) return true;
    std::this_thread::sleep_for(std::min<Duration>(due - now, kStopCheckPeriod));
  }
  return false;
}

void RunCallerThread(int thread, Shared* shared) {
  const LoadPlan& plan = shared->plan;
  const std::string name = plan.name + "-" + std::to_string(thread);
  Caller caller(name, &shared->address_cache);
  caller.set_call_timeout(plan.call_timeout);
  caller.set_read_deadline_ms(plan.read_deadline_ms);
  Random random(plan.seed * 1000 + static_cast<std::uint64_t>(thread));
  for (int call = 0;; ++call) {
    Instant due = MonotonicNow();
    if (plan.rate > 0) {
      const double seconds = static_cast<double>(shared->next_call++) / plan.rate;
      due = shared->started +
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }
    if (due >= shared->started + plan.duration || !WaitUntil(due, shared->stop)) return;
    SendCall(&caller, &random, name + "-" + std::to_string(call), due, shared);
  }
}

Json ToJson(const KindResult& result) {
  Json json{{"count", result.Count()},
            {"retried", result.retried},
            {"body_bytes", result.body_bytes},
            {"p50_ms", InMilliseconds(result.Percentile(0.5))},
            {"p99_ms", InMilliseconds(result.Percentile(0.99))},
            {"p999_ms", InMilliseconds(result.Percentile(0.999))},
            {"max_ms", InMilliseconds(result.Percentile(1))},
            {"failures", result.failures}};
  for (const Outcome outcome : kOutcomes) json[NameOf(outcome)] = result.Of(outcome);
  return json;
}

}  // namespace

std::uint64_t KindResult::Of(Outcome outcome) const {
  const auto found = outcomes.find(outcome);
  return found == outcomes.end() ? 0 : found->second;
}

Duration KindResult::Percentile(double quantile) const {
  if (latencies.empty()) return {};
  std::vector<Duration> sorted = latencies;
  std::sort(sorted.begin(), sorted.end());
  const double rank = quantile * static_cast<double>(sorted.size());
  return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(rank))];
}

LoadResult RunLoad(const LoadPlan& plan, const std::atomic<bool>& stop) {
  Shared shared{plan, stop, AddressCache(plan.addresses, plan.name), MonotonicNow(), {}, {}, {}};
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(plan.concurrency));
  for (int i = 0; i < plan.concurrency; ++i) threads.emplace_back(RunCallerThread, i, &shared);
  for (std::thread& thread : threads) thread.join();
  return std::move(shared.result);
}

std::string FormatKind(const std::string& kind, const KindResult& result) {
  std::string line = "kind=" + kind + " count=" + std::to_string(result.Count());
  for (const Outcome outcome : kOutcomes) {
    line += " " + NameOf(outcome) + "=" + std::to_string(result.Of(outcome));
  }
  char times[160];
  std::snprintf(times, sizeof(times),
                " retried=%llu p50_ms=%.2f p99_ms=%.2f p999_ms=%.2f max_ms=%.2f",
                static_cast<unsigned long long>(result.retried),  // NOLINT(google-runtime-int)
                InMilliseconds(result.Percentile(0.5)), InMilliseconds(result.Percentile(0.99)),
                InMilliseconds(result.Percentile(0.999)), InMilliseconds(result.Percentile(1)));
  return line + times;
}

std::string FormatJson(const LoadResult& result) {
  Json json = Json::object();
  for (const auto& [kind, kind_result] : result) json[kind] = ToJson(kind_result);
  return json.dump();
}

}  // namespace primroseweir::standins
