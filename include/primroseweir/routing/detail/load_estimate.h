#ifndef PRIMROSEWEIR_ROUTING_DETAIL_LOAD_ESTIMATE_H_
#define PRIMROSEWEIR_ROUTING_DETAIL_LOAD_ESTIMATE_H_

#include <vector>

#include "primroseweir/routing/candidate.h"

namespace primroseweir::detail {

// Calls of other instances per slot, averaged over the candidates with a report. The mean changes
// slowly, so it stays useful when single reports are too old. Linear in the number of candidates.
double MeanOthersPerSlot(const std::vector<Candidate>& candidates);

// Estimated calls in flight at the candidate over the whole fleet: this instance's own count, and
// the others' from the report, which fades towards `mean_others_per_slot` as the report ages.
double EstimatedInFlight(const Candidate& candidate, double mean_others_per_slot);

// Median of the known latencies in microseconds; 0 when none is known. Linear on average.
double MedianLatency(const std::vector<Candidate>& candidates);

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_LOAD_ESTIMATE_H_
