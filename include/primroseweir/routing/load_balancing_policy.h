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

// Strategy that picks one of the usable upstreams for a call. An object belongs to one thread.
class LoadBalancingPolicy {
 public:
  virtual ~LoadBalancingPolicy() = default;

  // Position in `candidates` (not Candidate::index) of the choice. `candidates` is not empty.
  virtual std::size_t Pick(const std::vector<Candidate>& candidates, Random* random,
                           Instant now) = 0;

  // Name as in the bench's tables, such as "round-robin".
  virtual std::string name() const = 0;
};

// Makes the policy of that name; null when there is none.
std::unique_ptr<LoadBalancingPolicy> MakeLoadBalancingPolicy(const std::string& name);

// Names of all policies; the first is the default.
std::vector<std::string> LoadBalancingPolicyNames();

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_LOAD_BALANCING_POLICY_H_
