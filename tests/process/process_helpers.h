#ifndef TESTS_PROCESS_PROCESS_HELPERS_H_
#define TESTS_PROCESS_PROCESS_HELPERS_H_

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "caller/load.h"
#include "support/site.h"

namespace primroseweir::testing {

using standins::HeaderField;
using standins::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kReadService[] = "ice-board";
constexpr char kBookingService[] = "booking-ledger";
constexpr char kDownloadService[] = "chart-distribution";
// Time within which changes of the configuration, of the fleet and of upstreams must take effect.
constexpr auto kMaxReactionTime = seconds(5);

// Returns DonaueisPlan with three upstreams per service and one entry instance per data centre.
inline SitePlan SmallPlan(const std::string& name) {
  SitePlan plan = DonaueisPlan(name);
  for (ServicePlan& service : plan.services) service.upstreams = 3;
  return plan;
}

// Runs a load plan on background threads for its duration or until Stop or the destructor ends it.
class BackgroundLoad {
 public:
  explicit BackgroundLoad(standins::LoadPlan plan)
      : result_(std::async(std::launch::async, [this, plan = std::move(plan)] {
          return standins::RunLoad(plan, stop_);
        })) {}
  ~BackgroundLoad() { stop_ = true; }

  standins::LoadResult Stop() {
    stop_ = true;
    return result_.get();
  }

 private:
  std::atomic<bool> stop_{false};
  std::future<standins::LoadResult> result_;
};

// Returns a plan of reads through all entry instances at `rate` calls a second.
inline standins::LoadPlan MakeReadLoadPlan(const Site& site, double rate) {
  standins::LoadPlan plan;
  plan.addresses = site.CallerAddresses();
  plan.read_service = kReadService;
  plan.booking_service = kBookingService;
  plan.download_service = kDownloadService;
  plan.rate = rate;
  plan.duration = std::chrono::minutes(5);
  return plan;
}

// Checks that there were calls and that each of them received a complete and correct response.
inline void CheckAllCorrect(const standins::LoadResult& result) {
  for (const auto& [kind, kind_result] : result) {
    INFO(FormatKind(kind, kind_result));
    for (const std::string& failure : kind_result.failures) UNSCOPED_INFO(failure);
    CHECK(kind_result.Of(Outcome::kCorrect) == kind_result.Count());
  }
  CHECK(!result.empty());
}

// Sends one request to one entry instance, without retries. Returns status 0 when no complete
// response arrived.
inline standins::HttpResponse Send(const SocketAddress& to, const std::string& method,
                                   const std::string& target, std::vector<HeaderField> fields = {},
                                   const std::string& body = "", Duration timeout = seconds(15)) {
  standins::HttpHead request;
  request.method = method;
  request.target = target;
  request.fields = std::move(fields);
  return standins::Fetch(to, request, body, timeout).value_or(standins::HttpResponse{});
}

inline std::string OutcomeOf(const standins::HttpResponse& response) {
  return response.head.Value("Primroseweir-Outcome");
}

// Returns the parsed body of an instance's address response. When no valid JSON arrives within 1 s,
// returns a discarded JSON value, which is not an object.
inline Site::Json AddressesOf(const Site& site, int index) {
  const auto response =
      Send(site.CallerAddress(index), "GET", "/primroseweir/addresses", {}, "", seconds(1));
  return Site::Json::parse(response.body, nullptr, false);
}

// Returns the configuration revision in force at an instance, or 0 when it does not respond.
inline std::uint64_t RevisionOf(const Site& site, int index) {
  const Site::Json body = AddressesOf(site, index);
  return body.is_object() ? body.value("revision", std::uint64_t{0}) : 0;
}

// Waits until each of the instances has at least that revision in force. Returns false after
// `timeout`.
inline bool WaitForRevision(const Site& site, const std::vector<int>& instances,
                            std::uint64_t revision, Duration timeout) {
  return WaitUntil(
      [&] {
        for (const int index : instances) {
          if (RevisionOf(site, index) < revision) return false;
        }
        return true;
      },
      timeout);
}

// Warms up all upstreams of the service for the fleet: in each of 12 rounds, 4 concurrent clients
// per instance send 8 GET requests each.
inline void WarmUp(const Site& site, const std::string& service, const std::string& path) {
  for (int round = 0; round < 12; ++round) {
    std::vector<std::future<void>> calls;
    for (int i = 0; i < 4 * site.entry_count(); ++i) {
      calls.push_back(std::async(std::launch::async, [&site, &service, &path, i] {
        for (int call = 0; call < 8; ++call) {
          Send(site.CallerAddress(i % site.entry_count()), "GET", "/" + service + path);
        }
      }));
    }
    for (auto& call : calls) call.get();
    std::this_thread::sleep_for(milliseconds(100));
  }
}

// Restarts the "since mark" counters of all upstreams.
inline void MarkAllUpstreams(Site* site) {
  for (const char* service : {kReadService, kBookingService, kDownloadService}) {
    for (const std::string& id : site->UpstreamIds(service)) site->Control(id, "/mark");
  }
}

// Calls that the upstreams of a data centre received since the last mark.
struct CallsSinceMark {
  std::uint64_t calls = 0;
  // Time from the mark to the arrival of the last call.
  std::int64_t last_ms = 0;
};

inline CallsSinceMark CallsSinceMarkIn(const Site& site, const std::string& data_centre) {
  CallsSinceMark result;
  for (const char* service : {kReadService, kBookingService, kDownloadService}) {
    for (const std::string& id : site.UpstreamIds(service)) {
      if (site.UpstreamDataCentre(id) != data_centre) continue;
      const Site::Json state = site.UpstreamState(id);
      result.calls += state["since_mark"].get<std::uint64_t>();
      result.last_ms = std::max(result.last_ms, state["last_after_mark_ms"].get<std::int64_t>());
    }
  }
  return result;
}

// Compares the ledgers of the upstreams with the outcomes that the callers of bookings received.
// Returns one line for each booking that was executed more than once and one for each booking whose
// executions contradict its outcome or whose response was incorrect; "" when there are none.
inline std::string FindLedgerMismatches(const Site& site,
                                        const std::map<std::string, Outcome>& bookings) {
  std::string mismatches;
  auto executions = site.Executions(kBookingService);
  for (const auto& [booking, count] : executions) {
    if (count > 1) mismatches += booking + " was executed " + std::to_string(count) + " times\n";
  }
  for (const auto& [booking, outcome] : bookings) {
    const int count = executions[booking];
    const bool agrees = outcome == Outcome::kCorrect  ? count == 1
                        : outcome == Outcome::kNotRun ? count == 0
                                                      : outcome != Outcome::kWrong;
    if (!agrees)
      mismatches += booking + ", outcome " + NameOf(outcome) + ": executed " +
                    std::to_string(count) + " times\n";
  }
  return mismatches;
}

}  // namespace primroseweir::testing

#endif  // TESTS_PROCESS_PROCESS_HELPERS_H_
