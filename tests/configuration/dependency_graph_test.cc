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

// What a naive enumeration of all paths finds.
struct NaiveResult {
  bool cycle = false;
  std::size_t longest = 0;
};

void Extend(const Graph& graph, std::vector<std::uint32_t>* path, NaiveResult* result) {
  result->longest = std::max(result->longest, path->size());
  for (const std::uint32_t next : graph[path->back()]) {
    if (std::find(path->begin(), path->end(), next) != path->end()) {
      result->cycle = true;
      continue;
    }
    path->push_back(next);
    Extend(graph, path, result);
    path->pop_back();
  }
}

NaiveResult Enumerate(const Graph& graph) {
  NaiveResult result;
  for (std::uint32_t i = 0; i < graph.size(); ++i) {
    std::vector<std::uint32_t> path{i};
    Extend(graph, &path, &result);
  }
  return result;
}

// A random graph; when `ordered`, edges lead to higher numbers only, so that there is no cycle.
Graph RandomGraph(Random* random, bool ordered) {
  const std::uint64_t count = 1 + random->Below(12);
  const double density = random->Unit() * 0.5;
  Graph graph(count);
  for (std::uint32_t from = 0; from < count; ++from) {
    for (std::uint32_t to = ordered ? from + 1 : 0; to < count; ++to) {
      if (random->Unit() < density) graph[from].push_back(to);
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

// Guards against a search that misses a cycle or a long chain behind a service it has visited.
TEST_CASE("validation of dependencies agrees with a naive enumeration of paths") {
  Random random(20261204);
  int rejected = 0;
  for (int round = 0; round < 2'000; ++round) {
    const Graph graph = RandomGraph(&random, round % 2 == 0);
    const NaiveResult naive = Enumerate(graph);
    detail::DependencyGraph search(graph);
    search.Search(kMaxValidationErrors);
    REQUIRE(search.cycles().empty() == !naive.cycle);
    const bool valid = !naive.cycle && naive.longest <= kMaxChainLength;
    REQUIRE(ParseText(TextOf(graph)).ok() == valid);
    rejected += valid ? 0 : 1;
    if (naive.cycle) continue;
    std::size_t longest = 0;
    for (std::uint32_t i = 0; i < graph.size(); ++i) {
      longest = std::max<std::size_t>(longest, search.ChainLength(i));
      REQUIRE(search.Chain(i).size() == search.ChainLength(i));
    }
    REQUIRE(longest == naive.longest);
  }
  // Both verdicts must occur often, or the comparison shows nothing.
  CHECK(rejected > 300);
  CHECK(rejected < 1'700);
}

TEST_CASE("each cycle found is a path of dependencies that closes") {
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
