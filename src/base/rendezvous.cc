#include "primroseweir/base/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace primroseweir {

std::uint64_t StableHash(const std::string& data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::uint64_t RendezvousScore(const std::string& key, std::uint64_t candidate) {
  return StableHash(key, candidate + 1);
}

std::vector<std::uint64_t> RendezvousOrder(const std::string& key,
                                           std::vector<std::uint64_t> candidates) {
  std::sort(candidates.begin(), candidates.end(), [&key](std::uint64_t a, std::uint64_t b) {
    const std::uint64_t score_a = RendezvousScore(key, a);
    const std::uint64_t score_b = RendezvousScore(key, b);
    return score_a != score_b ? score_a > score_b : a < b;
  });
  return candidates;
}

std::size_t RendezvousRank(const std::string& key, std::uint64_t candidate, std::uint64_t count) {
  const std::uint64_t candidate_score = RendezvousScore(key, candidate);
  std::size_t rank = 0;
  for (std::uint64_t other = 0; other < count; ++other) {
    if (other == candidate) continue;
    const std::uint64_t score = RendezvousScore(key, other);
    if (score > candidate_score || (score == candidate_score && other < candidate)) ++rank;
  }
  return rank;
}

}  // namespace primroseweir
