#include "primroseweir/balance/cold_pacer.h"

#include <algorithm>
#include <chrono>

#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

// An upstream without a stated rate gets one call at a time from the whole fleet in this time.
constexpr double kUnstatedRate = 1;

}  // namespace

void ColdPacer::Start(const Bound& bound, std::size_t instances, Instant now, Random* random) {
  const auto spacing = std::chrono::duration<double>(Spacing(bound, instances));
  next_ = now + std::chrono::duration_cast<Duration>(spacing * random->Unit());
}

void ColdPacer::NoteSent(const Bound& bound, std::size_t instances, Instant now) {
  next_ = now + Spacing(bound, instances);
}

Duration ColdPacer::Spacing(const Bound& bound, std::size_t instances) {
  double rate = std::min(bound.rate, kUsedPart * bound.ceiling);
  if (rate <= 0) {
    rate = kUnstatedRate;
  }
  const auto fleet = static_cast<double>(std::max<std::size_t>(instances, 1));
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(fleet / rate));
}

}  // namespace primroseweir
