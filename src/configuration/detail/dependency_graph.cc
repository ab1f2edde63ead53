#include "primroseweir/configuration/detail/dependency_graph.h"

#include <algorithm>
#include <utility>

namespace primroseweir::detail {

DependencyGraph::DependencyGraph(std::vector<std::vector<std::uint32_t>> dependencies)
    : dependencies_(std::move(dependencies)),
      states_(dependencies_.size(), VisitState::kUnvisited),
      lengths_(dependencies_.size(), 1) {}

void DependencyGraph::Search(std::size_t max_cycles) {
  for (std::uint32_t root = 0; root < dependencies_.size(); ++root) {
    if (cycles_.size() >= max_cycles) return;
    if (states_[root] == VisitState::kUnvisited) SearchFrom(root, max_cycles);
  }
}

void DependencyGraph::SearchFrom(std::uint32_t root, std::size_t max_cycles) {
  Push(root);
  while (!stack_.empty() && cycles_.size() < max_cycles) {
    Frame& frame = stack_.back();
    const auto& dependencies = dependencies_[frame.service];
    if (frame.next_dependency == dependencies.size()) {
      Pop();
      continue;
    }
    const std::uint32_t child = dependencies[frame.next_dependency++];
    if (child == kUnknown) continue;
    if (states_[child] == VisitState::kUnvisited) {
      Push(child);
    } else if (states_[child] == VisitState::kOnStack) {
      AddCycle(child);
    } else {
      lengths_[frame.service] = std::max(lengths_[frame.service], lengths_[child] + 1);
    }
  }
}

void DependencyGraph::Push(std::uint32_t service) {
  states_[service] = VisitState::kOnStack;
  stack_.push_back({service, 0});
}

void DependencyGraph::Pop() {
  const std::uint32_t service = stack_.back().service;
  states_[service] = VisitState::kVisited;
  stack_.pop_back();
  if (stack_.empty()) return;
  std::uint32_t& length = lengths_[stack_.back().service];
  length = std::max(length, lengths_[service] + 1);
}

void DependencyGraph::AddCycle(std::uint32_t first) {
  Cycle cycle;
  cycle.service = stack_.back().service;
  cycle.dependency = stack_.back().next_dependency - 1;
  std::size_t start = stack_.size();
  while (stack_[--start].service != first) {
  }
  for (std::size_t i = start; i < stack_.size(); ++i) cycle.path.push_back(stack_[i].service);
  cycles_.push_back(std::move(cycle));
}

std::vector<std::uint32_t> DependencyGraph::Chain(std::uint32_t service) const {
  std::vector<std::uint32_t> chain{service};
  while (lengths_[chain.back()] > 1) {
    const std::uint32_t next_length = lengths_[chain.back()] - 1;
    for (const std::uint32_t child : dependencies_[chain.back()]) {
      if (child == kUnknown || lengths_[child] != next_length) continue;
      chain.push_back(child);
      break;
    }
  }
  return chain;
}

}  // namespace primroseweir::detail
