#include "primroseweir/configuration/detail/dependency_graph.h"

#include <algorithm>
#include <utility>

namespace primroseweir::detail {

DependencyGraph::DependencyGraph(std::vector<std::vector<std::uint32_t>> dependencies)
    : dependencies_(std::move(dependencies)),
      marks_(dependencies_.size(), Mark::kNew),
      lengths_(dependencies_.size(), 1) {}

void DependencyGraph::Search(std::size_t max_cycles) {
  for (std::uint32_t root = 0; root < dependencies_.size(); ++root) {
    if (cycles_.size() >= max_cycles) return;
    if (marks_[root] == Mark::kNew) SearchFrom(root, max_cycles);
  }
}

void DependencyGraph::SearchFrom(std::uint32_t root, std::size_t max_cycles) {
  Enter(root);
  while (!steps_.empty() && cycles_.size() < max_cycles) {
    Step& step = steps_.back();
    const auto& dependencies = dependencies_[step.service];
    if (step.next == dependencies.size()) {
      Leave();
      continue;
    }
    const std::uint32_t child = dependencies[step.next++];
    if (child == kUnknown) continue;
    if (marks_[child] == Mark::kNew) {
      Enter(child);
    } else if (marks_[child] == Mark::kOpen) {
      AddCycle(child);
    } else {
      lengths_[step.service] = std::max(lengths_[step.service], lengths_[child] + 1);
    }
  }
}

void DependencyGraph::Enter(std::uint32_t service) {
  marks_[service] = Mark::kOpen;
  steps_.push_back({service, 0});
}

void DependencyGraph::Leave() {
  const std::uint32_t service = steps_.back().service;
  marks_[service] = Mark::kDone;
  steps_.pop_back();
  if (steps_.empty()) return;
  std::uint32_t& length = lengths_[steps_.back().service];
  length = std::max(length, lengths_[service] + 1);
}

void DependencyGraph::AddCycle(std::uint32_t first) {
  Cycle cycle;
  cycle.service = steps_.back().service;
  cycle.dependency = steps_.back().next - 1;
  std::size_t start = steps_.size();
  while (steps_[--start].service != first) {
  }
  for (std::size_t i = start; i < steps_.size(); ++i) cycle.path.push_back(steps_[i].service);
  cycles_.push_back(std::move(cycle));
}

std::vector<std::uint32_t> DependencyGraph::Chain(std::uint32_t service) const {
  std::vector<std::uint32_t> chain{service};
  while (lengths_[chain.back()] > 1) {
    const std::uint32_t wanted = lengths_[chain.back()] - 1;
    for (const std::uint32_t child : dependencies_[chain.back()]) {
      if (child == kUnknown || lengths_[child] != wanted) continue;
      chain.push_back(child);
      break;
    }
  }
  return chain;
}

}  // namespace primroseweir::detail
