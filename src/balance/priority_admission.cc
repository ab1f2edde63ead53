#include "primroseweir/balance/priority_admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace primroseweir {
namespace {

double DecayFactor(Duration age) {
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(PriorityAdmission::kDecayTime));
}

}  // namespace

void PriorityAdmission::RecordArrival(std::uint32_t priority, Instant now) {
  last_arrivals_[priority] = now;
}

void PriorityAdmission::RecordPlacement(bool found_room, Instant now) {
  const double decay = DecayFactor(now - updated_at_);
  updated_at_ = now;
  calls_ = calls_ * decay + 1;
  calls_without_room_ = calls_without_room_ * decay + (found_room ? 0 : 1);
}

double PriorityAdmission::Shortage(Instant now) const {
  const double decay = DecayFactor(now - updated_at_);
  const double share = calls_without_room_ * decay / (calls_ * decay + kAssumedCalls);
  return std::clamp((share - kMinShortShare) / (kMaxShortShare - kMinShortShare), 0.0, 1.0);
}

bool PriorityAdmission::ShouldRefuse(std::uint32_t priority, double draw, Instant now) const {
  const double shortage = Shortage(now);
  if (shortage <= 0) {
    return false;
  }
  // Numbers of priorities in use that are less urgent, and of all but the most urgent one.
  double less_urgent = 0;
  double others = -1;
  bool is_most_urgent = true;
  for (const auto& [other, last_arrival] : last_arrivals_) {
    if (now - last_arrival > kPriorityMemory) {
      continue;
    }
    ++others;
    less_urgent += other > priority ? 1 : 0;
    is_most_urgent = is_most_urgent && other >= priority;
  }
  if (is_most_urgent) {
    return false;
  }
  const double share = std::clamp(shortage * others - less_urgent, 0.0, 1.0);
  return draw < share * kMaxRefusedShare;
}

std::optional<bool> PriorityAdmission::TakeChange(Instant now) {
  const bool is_short = Shortage(now) > 0;
  if (is_short == is_short_) {
    return std::nullopt;
  }
  is_short_ = is_short;
  return is_short;
}

}  // namespace primroseweir
