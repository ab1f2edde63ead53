#include "primroseweir/loop/connection_eviction.h"

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>

namespace primroseweir {

double ConnectionEviction::Score(const ConnectionLoad& load, double address_share) {
  const auto held = static_cast<double>(load.held_bytes);
  const double stalled_seconds = std::chrono::duration<double>(load.stalled_for).count();
  const double seconds = stalled_seconds + held / std::max(load.bytes_per_second, kMinPace);
  return held * seconds * (1 + address_share) * (load.has_been_served ? 1 : kUnservedFactor);
}

std::vector<std::size_t> ConnectionEviction::Choose(const std::vector<ConnectionLoad>& loads,
                                                    std::uint64_t bytes, std::size_t connections) {
  std::unordered_map<std::uint32_t, std::uint64_t> held_by_address;
  std::uint64_t held_bytes = 0;
  for (const auto& load : loads) {
    held_by_address[load.address] += load.held_bytes;
    held_bytes += load.held_bytes;
  }
  // Ordinary callers hold little, so that closing them would not release memory.
  const auto min_held_bytes = bytes == 0 || loads.empty() ? 0 : held_bytes / loads.size() / 2;
  std::vector<std::pair<double, std::size_t>> candidates;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    if (loads[i].waits_for_caller && loads[i].held_bytes >= min_held_bytes) {
      const auto share = static_cast<double>(held_by_address[loads[i].address]) /
                         static_cast<double>(std::max<std::uint64_t>(held_bytes, 1));
      candidates.emplace_back(Score(loads[i], share), i);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<std::size_t> chosen;
  std::uint64_t chosen_bytes = 0;
  for (const auto& [score, index] : candidates) {
    if (chosen_bytes >= bytes && chosen.size() >= connections) {
      break;
    }
    chosen.push_back(index);
    chosen_bytes += loads[index].held_bytes;
  }
  return chosen;
}

}  // namespace primroseweir
