#ifndef PRIMROSEWEIR_ROUTING_DETAIL_PICK_FUNCTIONS_H_
#define PRIMROSEWEIR_ROUTING_DETAIL_PICK_FUNCTIONS_H_

#include <cstddef>
#include <vector>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/candidate.h"

namespace primroseweir {

class Random;

namespace detail {

// Policies that keep no state between two picks. load_balancing_policy.cc gives them their names.

std::size_t PickRandom(const std::vector<Candidate>& candidates, Random* random, Instant now);

// Picks the candidate with the fewest calls of this instance in flight per slot; ties are broken at
// random.
std::size_t PickLeastInFlight(const std::vector<Candidate>& candidates, Random* random,
                              Instant now);

// Picks the one of two random candidates with fewer calls of this instance in flight per slot.
std::size_t PickTwoRandom(const std::vector<Candidate>& candidates, Random* random, Instant now);

// Like PickTwoRandom, but compares the reported load, which decays towards the mean as the report
// ages.
std::size_t PickTwoReported(const std::vector<Candidate>& candidates, Random* random, Instant now);

// Picks the lowest reported load per slot over all candidates, corrected by the calls that this
// instance sent and ended since the report.
std::size_t PickCorrectedReport(const std::vector<Candidate>& candidates, Random* random,
                                Instant now);

// Samples a few candidates at random; those above the median load are hot. Picks the one with the
// lowest latency among the others, and the least loaded one of equal latencies.
std::size_t PickHotColdPools(const std::vector<Candidate>& candidates, Random* random, Instant now);

// Picks a candidate with a free owned slot, otherwise the one with the fewest calls of this
// instance in flight per slot.
std::size_t PickOwnedFirst(const std::vector<Candidate>& candidates, Random* random, Instant now);

// Picks the candidate with the lowest cost, which grows with its latency if it is slow, with the
// calls beyond the owned slots, and with the network round trip. A free owned slot at an upstream
// that is not slow costs nothing but the round trip.
std::size_t PickOwnedAndFast(const std::vector<Candidate>& candidates, Random* random, Instant now);

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_PICK_FUNCTIONS_H_
