#ifndef PRIMROSEWEIR_ROUTING_LOAD_BALANCING_POLICY_H_
#define PRIMROSEWEIR_ROUTING_LOAD_BALANCING_POLICY_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/candidate.h"

namespace primroseweir {

class Random;

// Picks one of the usable upstreams for a call. Not thread-safe: use each object on one thread at a
// time.
class LoadBalancingPolicy {
 public:
  virtual ~LoadBalancingPolicy() = default;

  // Returns the position of the picked upstream in `candidates` (not its Candidate::index).
  // `candidates` must not be empty.
  virtual std::size_t Pick(const std::vector<Candidate>& candidates, Random* random,
                           Instant now) = 0;

  // Returns the name that the bench's tables use, such as "round-robin".
  virtual std::string name() const = 0;
};

// Creates the policy with that name; null if there is none.
std::unique_ptr<LoadBalancingPolicy> MakeLoadBalancingPolicy(const std::string& name);

// Returns the names of all policies; the first one is the default.
std::vector<std::string> LoadBalancingPolicyNames();

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_LOAD_BALANCING_POLICY_H_
