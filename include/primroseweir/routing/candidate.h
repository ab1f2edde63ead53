#ifndef PRIMROSEWEIR_ROUTING_CANDIDATE_H_
#define PRIMROSEWEIR_ROUTING_CANDIDATE_H_

#include <cstdint>

#include "primroseweir/base/time.h"

namespace primroseweir {

// What a choice policy sees of one usable upstream at the moment of the choice.
struct Candidate {
  // Position in the service's table, stable between two configurations.
  std::uint32_t index = 0;
  // Calls that the upstream executes at a time.
  std::uint32_t slots = 1;
  // Slots of the upstream that the live seats' even division assigns to this instance; a
  // preference, not a limit. 0 when it has none there.
  std::uint32_t owned_slots = 0;
  // Calls of this instance that are in flight there.
  std::uint32_t local_in_flight = 0;
  // Newest report known, over the whole fleet; valid when has_report is set.
  bool has_report = false;
  std::uint32_t reported_in_flight = 0;
  Duration report_age{};
  // Calls that this instance sent there, and ended there, after the report was written.
  std::uint32_t sent_since_report = 0;
  std::uint32_t ended_since_report = 0;
  // Exponentially weighted time to an answer's head as this instance saw it; 0 before the first.
  Duration latency{};
  // Time since `latency` last changed.
  Duration latency_age{};
  // Time since the upstream last refused a call of this instance; Duration::max() when never.
  Duration since_refusal = Duration::max();
  // Network round trip to its data centre, 0 for this instance's own.
  Duration round_trip_time{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_CANDIDATE_H_
