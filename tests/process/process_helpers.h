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

using standins::CallOutcome;
using standins::HeaderField;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kReads[] = "ice-board";
constexpr char kBookings[] = "booking-ledger";
constexpr char kDownloads[] = "chart-distribution";
// "A few seconds" of the promises.
constexpr auto kAFewSeconds = seconds(5);

// The Donaueis desk with three upstreams a service and one entry instance a data centre.
inline SitePlan SmallPlan(const std::string& name) {
  SitePlan plan = DonaueisPlan(name);
  for (ServicePlan& service : plan.services) service.upstreams = 3;
  return plan;
}

// Load that runs beside the test until it is stopped.
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

inline standins::LoadPlan ReadLoad(const Site& site, double rate) {
  standins::LoadPlan plan;
  plan.addresses = site.CallerAddresses();
  plan.read_service = kReads;
  plan.booking_service = kBookings;
  plan.download_service = kDownloads;
  plan.rate = rate;
  plan.duration = std::chrono::minutes(5);
  return plan;
}

// Fails unless every call got its right answer.
inline void CheckAllRight(const standins::LoadResult& result) {
  for (const auto& [kind, kind_result] : result) {
    INFO(FormatKind(kind, kind_result));
    for (const std::string& failure : kind_result.failures) UNSCOPED_INFO(failure);
    CHECK(kind_result.Of(CallOutcome::kCorrect) == kind_result.Count());
  }
  CHECK(!result.empty());
}

// One request to one entry instance, without any retry. Status 0 when there was no whole answer.
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

// The body of an instance's address answer; null when it gave none.
inline Site::Json AddressesOf(const Site& site, int index) {
  const auto response =
      Send(site.CallerAddress(index), "GET", "/primroseweir/addresses", {}, "", seconds(1));
  return Site::Json::parse(response.body, nullptr, false);
}

// Configuration revision in force at an instance; 0 when it doesn't answer.
inline std::uint64_t RevisionOf(const Site& site, int index) {
  const Site::Json body = AddressesOf(site, index);
  return body.is_object() ? body.value("revision", std::uint64_t{0}) : 0;
}

// True once each of the instances has at least that revision in force.
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

// Sends reads through each instance until all upstreams of the service are warm for the fleet.
inline void WarmUp(const Site& site, const std::string& service, const std::string& rest) {
  for (int round = 0; round < 12; ++round) {
    std::vector<std::future<void>> calls;
    for (int i = 0; i < 4 * site.entry_count(); ++i) {
      calls.push_back(std::async(std::launch::async, [&site, &service, &rest, i] {
        for (int call = 0; call < 8; ++call) {
          Send(site.CallerAddress(i % site.entry_count()), "GET", "/" + service + rest);
        }
      }));
    }
    for (auto& call : calls) call.get();
    std::this_thread::sleep_for(milliseconds(100));
  }
}

inline void MarkAll(Site* site) {
  for (const char* service : {kReads, kBookings, kDownloads}) {
    for (const std::string& id : site->UpstreamIds(service)) site->Control(id, "/mark");
  }
}

// Calls that the data centre's upstreams received since the mark, and when the last one came.
struct Work {
  std::uint64_t calls = 0;
  std::int64_t last_ms = 0;
};

inline Work WorkIn(const Site& site, const std::string& data_centre) {
  Work work;
  for (const char* service : {kReads, kBookings, kDownloads}) {
    for (const std::string& id : site.UpstreamIds(service)) {
      if (site.UpstreamDataCentre(id) != data_centre) continue;
      const Site::Json state = site.UpstreamState(id);
      work.calls += state["since_mark"].get<std::uint64_t>();
      work.last_ms = std::max(work.last_ms, state["last_after_mark_ms"].get<std::int64_t>());
    }
  }
  return work;
}

// Bookings whose executions in the ledgers disagree with what their callers were told; "" when
// there are none.
inline std::string LedgerFaults(const Site& site,
                                const std::map<std::string, CallOutcome>& bookings) {
  std::string faults;
  auto executions = site.Executions(kBookings);
  for (const auto& [booking, count] : executions) {
    if (count > 1) faults += booking + " ran " + std::to_string(count) + " times\n";
  }
  for (const auto& [booking, end] : bookings) {
    const int count = executions[booking];
    const bool agrees = end == CallOutcome::kCorrect       ? count == 1
                        : end == CallOutcome::kNotExecuted ? count == 0
                                                           : end != CallOutcome::kIncorrect;
    if (!agrees) faults += booking + " " + NameOf(end) + " ran " + std::to_string(count) + "\n";
  }
  return faults;
}

}  // namespace primroseweir::testing

#endif  // TESTS_PROCESS_PROCESS_HELPERS_H_
