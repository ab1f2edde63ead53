#include "membership/gossip_model.h"

#include <catch2/catch.hpp>
#include <deque>
#include <unordered_set>

#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

// Steps without faults after which all members must agree, from any state: three until a member is
// dead, three until a lost member is contacted, three to spread the result, and one spare.
constexpr int kFaultFreeSteps = 10;

std::string DescribePath(const std::vector<GossipModel::Action>& path) {
  const char* names[] = {"step", "deliver", "pause", "restart", "raise", "grow"};
  std::string text;
  for (const auto& action : path) {
    text += std::string(names[static_cast<int>(action.kind)]) + std::to_string(action.index) + " ";
  }
  return text;
}

// Returns "" when the members agree after kFaultFreeSteps without faults, else the difference.
std::string FindDivergence(GossipModel model) {
  const std::string violation = model.RunWithoutFaults(kFaultFreeSteps);
  return violation.empty() ? model.FindDisagreement() : violation;
}

struct Exploration {
  std::size_t states = 0;
  std::string failure;
};

// Explores all states within `max_actions` actions breadth-first, at most `max_states` of them.
Exploration Explore(std::size_t max_actions, std::size_t max_states) {
  struct Node {
    GossipModel model;
    std::vector<GossipModel::Action> path;
  };
  Exploration result;
  std::deque<Node> queue;
  queue.push_back({});
  std::unordered_set<std::string> visited = {queue.front().model.Fingerprint()};
  while (!queue.empty() && result.states < max_states) {
    const Node node = std::move(queue.front());
    queue.pop_front();
    ++result.states;
    const std::string divergence = FindDivergence(node.model);
    if (!divergence.empty())
      return {result.states, divergence + " after " + DescribePath(node.path)};
    if (node.path.size() == max_actions) continue;
    for (const auto& action : node.model.Actions()) {
      Node next = node;
      next.path.push_back(action);
      const std::string violation = next.model.Perform(action);
      if (!violation.empty())
        return {result.states, violation + " after " + DescribePath(next.path)};
      if (visited.insert(next.model.Fingerprint()).second) queue.push_back(std::move(next));
    }
  }
  return result;
}

// Guards against combinations of loss, reordering, restarts and pauses that no other test covers.
TEST_CASE(
    "three members keep the invariants and converge within five actions, in up to 60 000 states",
    "[cold-start]") {
  const Exploration exploration = Explore(5, 60'000);
  INFO(exploration.failure);
  CHECK(exploration.failure.empty());
  CHECK(exploration.states > 10'000);
}

// Guards against faults that need more steps than the breadth-first search reaches, such as those
// in the removal of dead members.
TEST_CASE("three members keep the invariants and converge in random sequences of 60 actions",
          "[cold-start]") {
  Random random(20'261'204);
  for (int walk = 0; walk < 2'000; ++walk) {
    GossipModel model;
    std::vector<GossipModel::Action> path;
    for (int i = 0; i < 60; ++i) {
      const auto actions = model.Actions();
      // Two draws in three choose among the first three actions only, which are the step and, when
      // messages are in flight, deliveries. This lets enough steps pass.
      const bool any_action = random.UniformBelow(3) == 0;
      const std::uint64_t frequent_actions = std::min<std::uint64_t>(actions.size(), 3);
      path.push_back(actions[random.UniformBelow(any_action ? actions.size() : frequent_actions)]);
      const std::string violation = model.Perform(path.back());
      INFO(violation << " after " << DescribePath(path));
      REQUIRE(violation.empty());
    }
    const std::string divergence = FindDivergence(model);
    INFO(divergence << " after " << DescribePath(path));
    REQUIRE(divergence.empty());
  }
}

}  // namespace
}  // namespace primroseweir
