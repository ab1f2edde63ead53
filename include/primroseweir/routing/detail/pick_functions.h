#ifndef PRIMROSEWEIR_ROUTING_DETAIL_PICK_FUNCTIONS_H_
#define PRIMROSEWEIR_ROUTING_DETAIL_PICK_FUNCTIONS_H_

#include <cstddef>
#include <vector>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/candidate.h"

namespace primroseweir {

class Random;

namespace detail {

// Choices that keep no state between two calls; a table in choice_policy.cc names them.

std::size_t PickRandom(const std::vector<Candidate>& candidates, Random* random, Instant now);

// The fewest calls of this instance in flight; ties are broken at random.
std::size_t PickLeastInFlight(const std::vector<Candidate>& candidates, Random* random,
                              Instant now);

// The one with fewer calls of this instance in flight out of two taken at random.
std::size_t PickTwoRandom(const std::vector<Candidate>& candidates, Random* random, Instant now);

// As PickTwoRandom, but by reported load, discounted by the report's age towards the mean.
std::size_t PickTwoReported(const std::vector<Candidate>& candidates, Random* random, Instant now);

// Lowest reported load over all candidates, corrected by this instance's calls since the report.
std::size_t PickCorrectedReport(const std::vector<Candidate>& candidates, Random* random,
                                Instant now);

// Out of a few taken at random: those above the median load are hot; takes the cold one with the
// lowest latency, or the least loaded one when all are hot.
std::size_t PickHotColdPools(const std::vector<Candidate>& candidates, Random* random, Instant now);

// A free owned slot first, else the fewest calls of this instance in flight.
std::size_t PickOwnedFirst(const std::vector<Candidate>& candidates, Random* random, Instant now);

// A free owned slot at an upstream that is not slow, else the lowest cost out of slowness, calls
// beyond the owned slots, and distance.
std::size_t PickOwnedAndFast(const std::vector<Candidate>& candidates, Random* random, Instant now);

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_PICK_FUNCTIONS_H_
