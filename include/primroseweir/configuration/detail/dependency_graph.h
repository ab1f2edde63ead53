#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_DEPENDENCY_GRAPH_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_DEPENDENCY_GRAPH_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace primroseweir::detail {

// Directed graph of the dependencies between services, which are given by index. Finds cycles and
// chain lengths in one depth-first search, without recursion since a text of 1 MB may hold a chain
// of thousands of services.
class DependencyGraph {
 public:
  // A cycle, closed by the dependency with index `dependency` of `service`.
  struct Cycle {
    std::uint32_t service = 0;
    std::uint32_t dependency = 0;
    // Services from the one that this dependency names to `service`.
    std::vector<std::uint32_t> path;
  };

  // Marks a dependency on a service that does not exist.
  static constexpr std::uint32_t kUnknown = UINT32_MAX;

  explicit DependencyGraph(std::vector<std::vector<std::uint32_t>> dependencies);

  // Searches from each service in order and stops after `max_cycles` cycles. Linear when there is
  // no cycle.
  void Search(std::size_t max_cycles);

  const std::vector<Cycle>& cycles() const { return cycles_; }

  // Returns the number of services on the longest chain that starts at `service`. Valid only when
  // there is no cycle.
  std::uint32_t ChainLength(std::uint32_t service) const { return lengths_[service]; }
  // Returns the first chain of that length, in the order of the dependencies.
  std::vector<std::uint32_t> Chain(std::uint32_t service) const;

 private:
  enum class VisitState : std::uint8_t { kUnvisited, kOnStack, kVisited };

  struct Frame {
    std::uint32_t service = 0;
    std::uint32_t next_dependency = 0;
  };

  void SearchFrom(std::uint32_t root, std::size_t max_cycles);
  void Push(std::uint32_t service);
  void Pop();
  void AddCycle(std::uint32_t first);

  const std::vector<std::vector<std::uint32_t>> dependencies_;
  std::vector<VisitState> states_;
  std::vector<std::uint32_t> lengths_;
  std::vector<Frame> stack_;
  std::vector<Cycle> cycles_;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_DEPENDENCY_GRAPH_H_
