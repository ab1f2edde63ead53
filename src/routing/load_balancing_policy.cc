#include "primroseweir/routing/load_balancing_policy.h"

#include <array>

#include "primroseweir/routing/detail/pick_functions.h"

namespace primroseweir {
namespace {

using PickFunction = std::size_t (*)(const std::vector<Candidate>&, Random*, Instant);

struct NamedPolicy {
  const char* name;
  PickFunction pick;
};

// The first one is the default. The benchmark bench/choice compares them.
constexpr std::array<NamedPolicy, 8> kPolicies = {{
    {"owned-and-fast", detail::PickOwnedAndFast},
    {"owned-first", detail::PickOwnedFirst},
    {"hot-cold-pools", detail::PickHotColdPools},
    {"corrected-report", detail::PickCorrectedReport},
    {"two-reported", detail::PickTwoReported},
    {"two-random", detail::PickTwoRandom},
    {"least-in-flight", detail::PickLeastInFlight},
    {"random", detail::PickRandom},
}};

constexpr char kRoundRobin[] = "round-robin";

class StatelessPolicy : public LoadBalancingPolicy {
 public:
  explicit StatelessPolicy(const NamedPolicy& policy) : policy_(policy) {}

  std::size_t Pick(const std::vector<Candidate>& candidates, Random* random, Instant now) override {
    return policy_.pick(candidates, random, now);
  }
  std::string name() const override { return policy_.name; }

 private:
  NamedPolicy policy_;
};

class RoundRobinPolicy : public LoadBalancingPolicy {
 public:
  std::size_t Pick(const std::vector<Candidate>& candidates, Random* /*random*/,
                   Instant /*now*/) override {
    return next_++ % candidates.size();
  }
  std::string name() const override { return kRoundRobin; }

 private:
  std::size_t next_ = 0;
};

}  // namespace

std::unique_ptr<LoadBalancingPolicy> MakeLoadBalancingPolicy(const std::string& name) {
  for (const NamedPolicy& policy : kPolicies) {
    if (name == policy.name) return std::make_unique<StatelessPolicy>(policy);
  }
  if (name == kRoundRobin) return std::make_unique<RoundRobinPolicy>();
  return nullptr;
}

std::vector<std::string> LoadBalancingPolicyNames() {
  std::vector<std::string> names;
  for (const NamedPolicy& policy : kPolicies) names.emplace_back(policy.name);
  names.emplace_back(kRoundRobin);
  return names;
}

}  // namespace primroseweir
