#ifndef PRIMROSEWEIR_BASE_RANDOM_H_
#define PRIMROSEWEIR_BASE_RANDOM_H_

#include <cstdint>
#include <random>

namespace primroseweir {

// Source of random numbers of deciding code. A fixed seed makes a test or a bench repeatable. Not
// safe for several threads; each thread owns one.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, bound). `bound` is at least 1.
  std::uint64_t Below(std::uint64_t bound);
  // Uniform in [0, 1).
  double Unit();
  // Exponential with the given mean.
  double Exponential(double mean);

 private:
  std::mt19937_64 engine_;
};

// A seed from the system's entropy source.
std::uint64_t EntropySeed();

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_RANDOM_H_
