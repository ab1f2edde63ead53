#ifndef STANDINS_CALLER_LOAD_H_
#define STANDINS_CALLER_LOAD_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "caller/address_book.h"
#include "caller/call_report.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir::standins {

// Load to put on the system. Services with an empty name are not called.
struct LoadPlan {
  std::string name = "caller";
  std::vector<SocketAddress> addresses;
  std::string read_service;
  std::string booking_service;
  std::string download_service;
  // Shares of bookings and downloads among the calls; the others are reads.
  double booking_share = 0;
  double download_share = 0;
  std::uint64_t download_bytes = 1'000'000;
  // Bytes a second of one download; 0 for no limit.
  std::uint64_t download_rate = 0;
  // Calls a second over all threads; 0 sends the next call when one ends.
  double rate = 100;
  int concurrency = 8;
  Duration duration = std::chrono::seconds(5);
  // Time for a read or a booking with its retries.
  Duration call_timeout = std::chrono::seconds(10);
  // Field Primroseweir-Deadline-Ms of reads; 0 for none.
  int read_deadline_ms = 0;
  std::uint64_t seed = 1;
};

// What the callers saw of one kind of call.
struct KindResult {
  std::map<CallOutcome, std::uint64_t> ends;
  std::uint64_t retried = 0;
  std::uint64_t body_bytes = 0;
  // From the time at which the call was due, so that a late start counts.
  std::vector<Duration> latencies;
  // The first failed calls, for the log.
  std::vector<std::string> failures;
  // How each booking ended, by its id.
  std::map<std::string, CallOutcome> bookings;

  std::uint64_t Count() const { return latencies.size(); }
  std::uint64_t Of(CallOutcome end) const;
  // Time below which the share `quantile` of the calls ended.
  Duration Percentile(double quantile) const;
};

using LoadResult = std::map<std::string, KindResult>;

// Runs the plan; ends early, after the calls in flight, once `stop` is true. Booking ids are
// NAME-THREAD-NUMBER.
LoadResult RunLoad(const LoadPlan& plan, const std::atomic<bool>& stop);

// One line of key=value pairs for a kind.
std::string FormatKind(const std::string& kind, const KindResult& result);
// All kinds as JSON text.
std::string FormatJson(const LoadResult& result);

}  // namespace primroseweir::standins

#endif  // STANDINS_CALLER_LOAD_H_
