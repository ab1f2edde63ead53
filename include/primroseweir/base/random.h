#ifndef PRIMROSEWEIR_BASE_RANDOM_H_
#define PRIMROSEWEIR_BASE_RANDOM_H_

#include <cstdint>
#include <random>

namespace primroseweir {

// Pseudo-random number generator for decisions. A fixed seed makes a test or benchmark
// reproducible. Not thread-safe; each thread uses its own.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Returns a number uniformly distributed in [0, bound). `bound` must be at least 1.
  std::uint64_t UniformBelow(std::uint64_t bound);
  // Returns a number uniformly distributed in [0, 1).
  double UniformUnit();
  // Returns an exponentially distributed number with the given mean.
  double Exponential(double mean);

 private:
  std::mt19937_64 engine_;
};

// Returns a seed from the system's entropy source.
std::uint64_t EntropySeed();

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_RANDOM_H_
