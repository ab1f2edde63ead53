#include "membership/gossip_model.h"

#include <catch2/catch.hpp>
#include <deque>
#include <unordered_set>

#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

// A fair run this long must bring all members to agreement from any state: three steps for a death,
// three for contact with a lost member, and three for the spread.
constexpr int kFairSteps = 10;

std::string Describe(const std::vector<GossipModel::Action>& path) {
  const char* names[] = {"step", "deliver", "pause", "restart", "raise", "grow"};
  std::string text;
  for (const auto& action : path) {
    text += std::string(names[static_cast<int>(action.kind)]) + std::to_string(action.index) + " ";
  }
  return text;
}

// "" when the members agree after a fair run.
std::string Convergence(GossipModel model) {
  const std::string broken = model.RunFairly(kFairSteps);
  return broken.empty() ? model.Disagreement() : broken;
}

struct Explored {
  std::size_t states = 0;
  std::string fault;
};

// Visits every state within `depth` actions, at most `bound` states.
Explored Explore(std::size_t depth, std::size_t bound) {
  struct Node {
    GossipModel model;
    std::vector<GossipModel::Action> path;
  };
  Explored result;
  std::deque<Node> queue;
  queue.push_back({});
  std::unordered_set<std::string> seen = {queue.front().model.Fingerprint()};
  while (!queue.empty() && result.states < bound) {
    const Node node = std::move(queue.front());
    queue.pop_front();
    ++result.states;
    const std::string differs = Convergence(node.model);
    if (!differs.empty()) return {result.states, differs + " after " + Describe(node.path)};
    if (node.path.size() == depth) continue;
    for (const auto& action : node.model.Actions()) {
      Node next = node;
      next.path.push_back(action);
      const std::string broken = next.model.Perform(action);
      if (!broken.empty()) return {result.states, broken + " after " + Describe(next.path)};
      if (seen.insert(next.model.Fingerprint()).second) queue.push_back(std::move(next));
    }
  }
  return result;
}

// Guards against orders of loss, reordering, restart and pause that no other test thought of.
TEST_CASE("every short history of three members is safe and converges", "[cold-start]") {
  const Explored explored = Explore(5, 60'000);
  INFO(explored.fault);
  CHECK(explored.fault.empty());
  CHECK(explored.states > 10'000);
}

// Guards against faults that need more steps than the exhaustive search reaches, such as
// forgetting.
TEST_CASE("long random histories of three members are safe and converge", "[cold-start]") {
  Random random(20'261'204);
  for (int walk = 0; walk < 2'000; ++walk) {
    GossipModel model;
    std::vector<GossipModel::Action> path;
    for (int i = 0; i < 60; ++i) {
      const auto actions = model.Actions();
      // Steps and deliveries are as frequent as everything else together, so that time passes.
      const bool anything = random.Below(3) == 0;
      const std::uint64_t plain = std::min<std::uint64_t>(actions.size(), 3);
      path.push_back(actions[random.Below(anything ? actions.size() : plain)]);
      const std::string broken = model.Perform(path.back());
      INFO(broken << " after " << Describe(path));
      REQUIRE(broken.empty());
    }
    const std::string differs = Convergence(model);
    INFO(differs << " after " << Describe(path));
    REQUIRE(differs.empty());
  }
}

}  // namespace
}  // namespace primroseweir
