#ifndef PRIMROSEWEIR_BENCH_PEER_RESULT_H_
#define PRIMROSEWEIR_BENCH_PEER_RESULT_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace primroseweir {

// Size and random seed of a fleet to measure.
struct FleetPlan {
  std::size_t members = 17;
  std::size_t upstreams = 35;
  std::uint64_t seed = 1;
};

// Measurements of one fleet. Rates, processor time and memory are per member; byte counts include
// 28 bytes of IP and UDP headers per datagram.
struct FleetResult {
  std::string kind;
  FleetPlan plan;
  double bytes_sent_per_second = 0;
  double bytes_received_per_second = 0;
  double datagrams_sent_per_second = 0;
  // Percent of one core.
  double processor_percent = 0;
  double megabytes = 0;
  // Time until the last member has a new configuration revision or upstream epoch; negative when a
  // member does not get it in time.
  double revision_seconds = -1;
  double epoch_seconds = -1;
  // Number of other members that a member wrongly regards as not alive, as a mean over all members
  // at the end of the traffic measurement.
  double wrong_suspicions = 0;
  // Time until every member knows every other; negative when that does not happen in time.
  double joined_seconds = -1;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BENCH_PEER_RESULT_H_
