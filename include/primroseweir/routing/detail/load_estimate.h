#ifndef PRIMROSEWEIR_ROUTING_DETAIL_LOAD_ESTIMATE_H_
#define PRIMROSEWEIR_ROUTING_DETAIL_LOAD_ESTIMATE_H_

#include <vector>

#include "primroseweir/routing/candidate.h"

namespace primroseweir::detail {

// Returns the calls of other instances per slot, averaged over the candidates with a load report.
// The mean changes slowly, so that it stays useful when single reports are too old. Linear in the
// number of candidates.
double MeanOthersPerSlot(const std::vector<Candidate>& candidates);

// Returns the estimated number of calls that the whole fleet has in flight at the candidate: the
// count of this instance plus the others' calls from the report. As the report ages, its weight
// decays and the estimate of the others' calls approaches `mean_others_per_slot`.
double EstimatedInFlight(const Candidate& candidate, double mean_others_per_slot);

// Returns the median of the known latencies in microseconds; 0 if none is known. Linear on average.
double MedianLatency(const std::vector<Candidate>& candidates);

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_LOAD_ESTIMATE_H_
