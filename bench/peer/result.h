#ifndef PRIMROSEWEIR_BENCH_PEER_RESULT_H_
#define PRIMROSEWEIR_BENCH_PEER_RESULT_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace primroseweir {

// One fleet that was measured. Rates are per node; bytes count 28 bytes of headers a datagram.
struct FleetPlan {
  std::size_t members = 17;
  std::size_t upstreams = 35;
  std::uint64_t seed = 1;
};

struct FleetResult {
  std::string kind;
  FleetPlan plan;
  double bytes_sent_per_second = 0;
  double bytes_received_per_second = 0;
  double datagrams_sent_per_second = 0;
  // Percent of one core.
  double processor_percent = 0;
  double megabytes = 0;
  // Until the last member has it; negative when that did not happen in time.
  double revision_seconds = -1;
  double epoch_seconds = -1;
  // Mean over members of the others that they wrongly take for not alive, at the end.
  double wrong_suspicions = 0;
  // Until every member knew every other.
  double joined_seconds = -1;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BENCH_PEER_RESULT_H_
