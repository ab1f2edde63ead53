#include "primroseweir/balance/service_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace primroseweir {
namespace {

// Answers that each average needs before the two are compared.
constexpr std::uint32_t kEnough = 15;
constexpr double kWeight = 0.05;

std::uint32_t BelowKnee(std::uint32_t slots) {
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(std::floor(ServiceLoad::kKnee * slots)));
}

// The first answers count equally, later ones by a fixed weight.
void Average(double* average, std::uint32_t* count, double sample) {
  ++*count;
  *average += (sample - *average) * std::max(kWeight, 1.0 / *count);
}

}  // namespace

void ServiceLoad::NoteAnswer(Duration took, double occupancy, std::uint32_t slots) {
  const double seconds = std::chrono::duration<double>(took).count();
  if (occupancy <= BelowKnee(slots)) {
    Average(&below_, &below_count_, seconds);
    usual_ = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(below_));
  } else if (occupancy <= slots) {
    Average(&above_, &above_count_, seconds);
  }
}

std::uint32_t ServiceLoad::Limit(std::uint32_t slots) const {
  const auto knee = BelowKnee(slots);
  if (below_count_ < kEnough || above_count_ < kEnough) {
    return slots;
  }
  const double throughput_below = knee / below_;
  const double throughput_above = slots / above_;
  return throughput_below > throughput_above ? knee : slots;
}

}  // namespace primroseweir
