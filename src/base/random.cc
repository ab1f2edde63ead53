#include "primroseweir/base/random.h"

#include <absl/random/distributions.h>

namespace primroseweir {

std::uint64_t Random::UniformBelow(std::uint64_t bound) {
  return absl::Uniform<std::uint64_t>(engine_, 0, bound);
}

double Random::UniformUnit() { return absl::Uniform(engine_, 0.0, 1.0); }

double Random::Exponential(double mean) { return absl::Exponential(engine_, 1.0 / mean); }

std::uint64_t EntropySeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace primroseweir
