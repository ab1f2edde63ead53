#ifndef STANDINS_CALLER_LOAD_H_
#define STANDINS_CALLER_LOAD_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "caller/address_cache.h"
#include "caller/call_report.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir::standins {

// Describes the load to generate. A service of a kind whose share is 0 may be left empty.
struct LoadPlan {
  std::string name = "caller";
  std::vector<SocketAddress> addresses;
  std::string read_service;
  std::string booking_service;
  std::string download_service;
  // Fractions of the calls, 0 to 1, that are bookings and downloads; the others are reads.
  double booking_share = 0;
  double download_share = 0;
  std::uint64_t download_bytes = 1'000'000;
  // Maximum bytes per second of one download; 0 for no limit.
  std::uint64_t download_rate = 0;
  // Calls per second over all threads; 0 makes each thread send its next call when one ends.
  double rate = 100;
  int concurrency = 8;
  Duration duration = std::chrono::seconds(5);
  // Time limit of a read or booking including its retries.
  Duration call_timeout = std::chrono::seconds(10);
  // Field Primroseweir-Deadline-Ms of reads, in milliseconds; 0 omits it.
  int read_deadline_ms = 0;
  std::uint64_t seed = 1;
};

// Results of all calls of one kind.
struct KindResult {
  std::map<Outcome, std::uint64_t> outcomes;
  std::uint64_t retried = 0;
  std::uint64_t body_bytes = 0;
  // Measured from the time at which the call was due, so that a late start counts as latency.
  std::vector<Duration> latencies;
  // Descriptions of the first failed calls, for the log.
  std::vector<std::string> failures;
  // Outcome of each booking, by booking id.
  std::map<std::string, Outcome> bookings;

  std::uint64_t Count() const { return latencies.size(); }
  std::uint64_t Of(Outcome outcome) const;
  // Returns the latency at `quantile` (0 to 1); 0 when there were no calls. Linearithmic in the
  // number of calls.
  Duration Percentile(double quantile) const;
};

using LoadResult = std::map<std::string, KindResult>;

// Runs the plan with one thread per concurrent call. No call starts after the duration of the plan
// or once `stop` is true; returns when the calls in flight have ended. Booking ids have the form
// NAME-THREAD-NUMBER.
LoadResult RunLoad(const LoadPlan& plan, const std::atomic<bool>& stop);

// Formats the result of one kind of call as a line of key=value pairs.
std::string FormatKind(const std::string& kind, const KindResult& result);
// Formats the results of all kinds as JSON text.
std::string FormatJson(const LoadResult& result);

}  // namespace primroseweir::standins

#endif  // STANDINS_CALLER_LOAD_H_
