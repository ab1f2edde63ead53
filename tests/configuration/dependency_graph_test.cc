#include "primroseweir/configuration/detail/dependency_graph.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/configuration/text_parser.h"
#include "primroseweir/configuration/value_limits.h"

namespace primroseweir {
namespace {

using Graph = std::vector<std::vector<std::uint32_t>>;

// Result of enumerating all paths, which serves as the reference.
struct ExpectedResult {
  bool cycle = false;
  std::size_t longest = 0;
};

void ExtendPath(const Graph& graph, std::vector<std::uint32_t>* path, ExpectedResult* result) {
  result->longest = std::max(result->longest, path->size());
  for (const std::uint32_t next : graph[path->back()]) {
    if (std::find(path->begin(), path->end(), next) != path->end()) {
      result->cycle = true;
      continue;
    }
    path->push_back(next);
    ExtendPath(graph, path, result);
    path->pop_back();
  }
}

ExpectedResult EnumeratePaths(const Graph& graph) {
  ExpectedResult result;
  for (std::uint32_t i = 0; i < graph.size(); ++i) {
    std::vector<std::uint32_t> path{i};
    ExtendPath(graph, &path, &result);
  }
  return result;
}

// Returns a random graph. With `ordered`, edges lead to higher indexes only, so that it is acyclic.
Graph RandomGraph(Random* random, bool ordered) {
  const std::uint64_t count = 1 + random->UniformBelow(12);
  const double density = random->UniformUnit() * 0.5;
  Graph graph(count);
  for (std::uint32_t from = 0; from < count; ++from) {
    for (std::uint32_t to = ordered ? from + 1 : 0; to < count; ++to) {
      if (random->UniformUnit() < density) graph[from].push_back(to);
    }
  }
  return graph;
}

std::string TextOf(const Graph& graph) {
  std::string text = "{\"services\":[";
  for (std::size_t i = 0; i < graph.size(); ++i) {
    text += (i > 0 ? "," : "") + std::string("{\"name\":\"s") + std::to_string(i) +
            "\",\"depends_on\":[";
    for (std::size_t k = 0; k < graph[i].size(); ++k) {
      text += (k > 0 ? ",\"s" : "\"s") + std::to_string(graph[i][k]) + "\"";
    }
    text += "]}";
  }
  return text + "]}";
}

// Guards against a search that misses a cycle or a long chain beyond an already visited service.
TEST_CASE("dependency validation agrees with an enumeration of all paths") {
  Random random(20261204);
  int rejected = 0;
  for (int round = 0; round < 2'000; ++round) {
    const Graph graph = RandomGraph(&random, round % 2 == 0);
    const ExpectedResult expected = EnumeratePaths(graph);
    detail::DependencyGraph search(graph);
    search.Search(kMaxValidationErrors);
    REQUIRE(search.cycles().empty() == !expected.cycle);
    const bool valid = !expected.cycle && expected.longest <= kMaxChainLength;
    REQUIRE(ParseText(TextOf(graph)).ok() == valid);
    rejected += valid ? 0 : 1;
    if (expected.cycle) continue;
    std::size_t longest = 0;
    for (std::uint32_t i = 0; i < graph.size(); ++i) {
      longest = std::max<std::size_t>(longest, search.ChainLength(i));
      REQUIRE(search.Chain(i).size() == search.ChainLength(i));
    }
    REQUIRE(longest == expected.longest);
  }
  // Both outcomes must be frequent for the comparison to be meaningful.
  CHECK(rejected > 300);
  CHECK(rejected < 1'700);
}

TEST_CASE("each reported cycle is a closed path of dependencies") {
  Random random(7);
  for (int round = 0; round < 500; ++round) {
    const Graph graph = RandomGraph(&random, false);
    detail::DependencyGraph search(graph);
    search.Search(kMaxValidationErrors);
    for (const auto& cycle : search.cycles()) {
      REQUIRE(cycle.path.back() == cycle.service);
      REQUIRE(graph[cycle.service][cycle.dependency] == cycle.path.front());
      for (std::size_t i = 1; i < cycle.path.size(); ++i) {
        const auto& edges = graph[cycle.path[i - 1]];
        REQUIRE(std::find(edges.begin(), edges.end(), cycle.path[i]) != edges.end());
      }
    }
  }
}

}  // namespace
}  // namespace primroseweir
