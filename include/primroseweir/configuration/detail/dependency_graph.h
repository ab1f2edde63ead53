#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_DEPENDENCY_GRAPH_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_DEPENDENCY_GRAPH_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace primroseweir::detail {

// Dependencies of services by index. Finds cycles and long chains by one depth-first search without
// recursion, since a text of 1 MB may hold a chain of thousands.
class DependencyGraph {
 public:
  // A cycle, closed by dependency number `dependency` of `service`.
  struct Cycle {
    std::uint32_t service = 0;
    std::uint32_t dependency = 0;
    // From the service that the dependency names to `service`.
    std::vector<std::uint32_t> path;
  };

  // Marks a dependency on a service that does not exist.
  static constexpr std::uint32_t kUnknown = UINT32_MAX;

  explicit DependencyGraph(std::vector<std::vector<std::uint32_t>> dependencies);

  // Searches in the order of the services and stops at `most` cycles. Linear without cycles.
  void Search(std::size_t max_cycles);

  const std::vector<Cycle>& cycles() const { return cycles_; }

  // Services on the longest chain that starts at the service. Valid when there are no cycles.
  std::uint32_t ChainLength(std::uint32_t service) const { return lengths_[service]; }
  // The first such chain.
  std::vector<std::uint32_t> Chain(std::uint32_t service) const;

 private:
  enum class Mark : std::uint8_t { kNew, kOpen, kDone };

  struct Step {
    std::uint32_t service = 0;
    std::uint32_t next = 0;
  };

  void SearchFrom(std::uint32_t root, std::size_t max_cycles);
  void Enter(std::uint32_t service);
  void Leave();
  void AddCycle(std::uint32_t first);

  const std::vector<std::vector<std::uint32_t>> dependencies_;
  std::vector<Mark> marks_;
  std::vector<std::uint32_t> lengths_;
  std::vector<Step> steps_;
  std::vector<Cycle> cycles_;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_DEPENDENCY_GRAPH_H_
