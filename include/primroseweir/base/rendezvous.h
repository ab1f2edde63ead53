#ifndef PRIMROSEWEIR_BASE_RENDEZVOUS_H_
#define PRIMROSEWEIR_BASE_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace primroseweir {

// Returns the 64-bit xxHash (XXH3) of `data` with `seed`, which is the same on every instance.
// Linear in the length of `data`.
std::uint64_t StableHash(const std::string& data, std::uint64_t seed = 0);

// Returns the rendezvous hashing score of `candidate` for `key`. Instances that rank the same
// candidates by it agree on the order without communicating.
std::uint64_t RendezvousScore(const std::string& key, std::uint64_t candidate);

// Returns the candidates in descending order of their score for `key`; equal scores in ascending
// order of the candidates. O(n log n).
std::vector<std::uint64_t> RendezvousOrder(const std::string& key,
                                           std::vector<std::uint64_t> candidates);

// Returns the rank of `candidate` among 0..count-1 in rendezvous order for `key`, from 0. O(count).
std::size_t RendezvousRank(const std::string& key, std::uint64_t candidate, std::uint64_t count);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_RENDEZVOUS_H_
