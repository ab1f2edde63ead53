#ifndef PRIMROSEWEIR_ROUTING_CANDIDATE_H_
#define PRIMROSEWEIR_ROUTING_CANDIDATE_H_

#include <cstdint>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Snapshot of one usable upstream, as a load-balancing policy receives it for one pick.
struct Candidate {
  // Position among the listed upstreams of the service, stable between two configurations.
  std::uint32_t index = 0;
  // Calls that the upstream executes at a time, or the limit of this instance there if that is
  // lower; at least 1.
  std::uint32_t slots = 1;
  // Slots of the upstream that are assigned to this instance when all slots are divided evenly
  // among the live seats; 0 when none is. A preference, not a limit.
  std::uint32_t owned_slots = 0;
  // Calls of this instance that are in flight at the upstream.
  std::uint32_t local_in_flight = 0;
  // Newest known load report, which counts the calls of the whole fleet; valid when has_report is
  // set.
  bool has_report = false;
  std::uint32_t reported_in_flight = 0;
  Duration report_age{};
  // Calls that this instance sent to the upstream, and that ended there, after the report was
  // written.
  std::uint32_t sent_since_report = 0;
  std::uint32_t ended_since_report = 0;
  // Exponentially weighted time to the response head, measured by this instance; 0 before the first
  // response.
  Duration latency{};
  // Time since `latency` last changed.
  Duration latency_age{};
  // Time since the upstream last refused a call of this instance; Duration::max() if it never did.
  Duration time_since_refusal = Duration::max();
  // Network round trip to the upstream's data centre; 0 for the data centre of this instance.
  Duration round_trip_time{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_CANDIDATE_H_
