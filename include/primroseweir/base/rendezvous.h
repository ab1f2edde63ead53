#ifndef PRIMROSEWEIR_BASE_RENDEZVOUS_H_
#define PRIMROSEWEIR_BASE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace primroseweir {

// 64-bit hash (xxhash) of `data` under `seed`. The same on every instance. Linear in the length.
std::uint64_t StableHash(const std::string& data, std::uint64_t seed = 0);

// Rendezvous score of `candidate` for `key`: instances that rank the same candidates for the same
// key agree on the order without talking to each other.
std::uint64_t RendezvousScore(const std::string& key, std::uint64_t candidate);

// The candidates in descending order of their score for `key`. O(n log n).
std::vector<std::uint64_t> RendezvousOrder(const std::string& key,
                                           std::vector<std::uint64_t> candidates);

// Place of `candidate` among 0..count-1 in rendezvous order for `key`. O(count).
std::size_t RendezvousRank(const std::string& key, std::uint64_t candidate, std::uint64_t count);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_RENDEZVOUS_H_
