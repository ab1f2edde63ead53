#ifndef PRIMROSEWEIR_ROUTING_DETAIL_LEAST_IN_FLIGHT_POLICY_H_
#define PRIMROSEWEIR_ROUTING_DETAIL_LEAST_IN_FLIGHT_POLICY_H_

#include <string>
#include <vector>

#include "primroseweir/routing/choice_policy.h"

namespace primroseweir {
namespace detail {

// Own data centre first, then the fewest calls of this instance in flight; ties at random.
class LeastInFlightPolicy : public ChoicePolicy {
 public:
  std::size_t Choose(const std::vector<Candidate>& candidates, Random* random,
                     Instant now) override;
  std::string name() const override { return "least-in-flight"; }
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_LEAST_IN_FLIGHT_POLICY_H_
