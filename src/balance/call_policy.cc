#include "primroseweir/balance/call_policy.h"

#include <algorithm>
#include <chrono>

namespace primroseweir {
namespace {

// A call that takes this many times the usual time is at a slow or silent upstream.
constexpr int kSlowFactor = 3;
// Part of the objective after which a second attempt can still bring the answer within it.
constexpr double kHedgePart = 0.7;

}  // namespace

CallPolicy::Step CallPolicy::After(Ending ending, const State& state) {
  const bool again = state.sends < state.max_sends;
  if (ending == Ending::kNotRun) {
    return again ? Step::kTryElsewhere : WithoutRetry(ending, state);
  }
  if (again && state.kind != CallKind::kOnce) {
    return Step::kTryElsewhere;
  }
  return WithoutRetry(ending, state);
}

CallPolicy::Step CallPolicy::WithoutRetry(Ending ending, const State& state) {
  switch (ending) {
    case Ending::kNotRun:
      return state.may_have_run ? Step::kFail : Step::kRefuse;
    case Ending::kFailed:
      return Step::kPass;
    case Ending::kLost:
      break;
  }
  return Step::kFail;
}

Duration CallPolicy::HedgeAfter(Duration objective, Duration usual) {
  const auto part =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(objective) * kHedgePart);
  return std::max(part, usual * kSlowFactor);
}

Duration CallPolicy::RetryAfter(Duration expected_wait, Duration left, double spread) {
  const auto random = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kRetryAfterSpread) * spread);
  const auto wait = std::max(expected_wait, kShortestRetryAfter) + random;
  return std::max(Duration::zero(), std::min<Duration>(wait, left / kRetryAfterPart));
}

}  // namespace primroseweir
