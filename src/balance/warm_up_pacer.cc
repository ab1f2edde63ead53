#include "primroseweir/balance/warm_up_pacer.h"

#include <algorithm>
#include <chrono>

#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

// Calls per second from the whole fleet to a cold upstream without a configured rate.
constexpr double kDefaultCallsPerSecond = 1;

}  // namespace

void WarmUpPacer::Start(const Limits& limits, std::size_t instances, Instant now, Random* random) {
  const auto spacing = std::chrono::duration<double>(Spacing(limits, instances));
  next_call_at_ = now + std::chrono::duration_cast<Duration>(spacing * random->UniformUnit());
}

void WarmUpPacer::RecordSent(const Limits& limits, std::size_t instances, Instant now) {
  next_call_at_ = now + Spacing(limits, instances);
}

Duration WarmUpPacer::Spacing(const Limits& limits, std::size_t instances) {
  double rate = std::min(limits.rate, kMaxUtilization * limits.max_rate);
  if (rate <= 0) {
    rate = kDefaultCallsPerSecond;
  }
  const auto fleet_size = static_cast<double>(std::max<std::size_t>(instances, 1));
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(fleet_size / rate));
}

}  // namespace primroseweir
