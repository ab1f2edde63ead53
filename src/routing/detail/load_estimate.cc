#include "primroseweir/routing/detail/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace primroseweir::detail {
namespace {

// The calls of other instances at an upstream change almost completely within a few service times.
constexpr double kReportDecayTimeMicroseconds = 60'000.0;

double Microseconds(Duration duration) { return static_cast<double>(ToMicroseconds(duration)); }

// Returns the calls of other instances that the report includes.
double OthersInReport(const Candidate& candidate) {
  const double local_in_flight_at_report = static_cast<double>(candidate.local_in_flight) +
                                           candidate.ended_since_report -
                                           candidate.sent_since_report;
  return std::max(0.0, candidate.reported_in_flight - local_in_flight_at_report);
}

}  // namespace

double MeanOthersPerSlot(const std::vector<Candidate>& candidates) {
  double others = 0;
  double slots = 0;
  for (const Candidate& candidate : candidates) {
    if (!candidate.has_report) continue;
    others += OthersInReport(candidate);
    slots += candidate.slots;
  }
  return slots > 0 ? others / slots : 0.0;
}

double EstimatedInFlight(const Candidate& candidate, double mean_others_per_slot) {
  double others = mean_others_per_slot * candidate.slots;
  if (candidate.has_report) {
    const double weight =
        std::exp(-Microseconds(candidate.report_age) / kReportDecayTimeMicroseconds);
    others += weight * (OthersInReport(candidate) - others);
  }
  return others + candidate.local_in_flight;
}

double MedianLatency(const std::vector<Candidate>& candidates) {
  std::vector<double> latencies;
  latencies.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    if (candidate.latency > Duration::zero()) latencies.push_back(Microseconds(candidate.latency));
  }
  if (latencies.empty()) return 0.0;
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

}  // namespace primroseweir::detail
