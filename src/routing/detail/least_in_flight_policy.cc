#include "primroseweir/routing/detail/least_in_flight_policy.h"

#include <tuple>

#include "primroseweir/base/random.h"

namespace primroseweir {
namespace detail {

std::size_t LeastInFlightPolicy::Choose(const std::vector<Candidate>& candidates, Random* random,
                                        Instant now) {
  const auto rank = [](const Candidate& candidate) {
    return std::make_tuple(candidate.distance, candidate.local_in_flight);
  };
  std::size_t best = 0;
  std::uint64_t ties = 1;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    if (rank(candidates[i]) < rank(candidates[best])) {
      best = i;
      ties = 1;
    } else if (rank(candidates[i]) == rank(candidates[best]) && random->Below(++ties) == 0) {
      best = i;
    }
  }
  return best;
}

}  // namespace detail
}  // namespace primroseweir
