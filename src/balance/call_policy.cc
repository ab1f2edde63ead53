#include "primroseweir/balance/call_policy.h"

#include <algorithm>
#include <chrono>

namespace primroseweir {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// A call that takes this many times the usual time is likely to be at a slow or silent upstream.
constexpr double kSlowFactor = 1.6;
// Usual times that a second attempt needs to bring its answer.
constexpr double kSecondFactor = 1.3;

Duration Times(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(duration) * factor);
}

}  // namespace

CallPolicy::Step CallPolicy::After(Ending ending, const State& state) {
  const bool again = state.sends < state.max_sends;
  if (ending == Ending::kNotRun) {
    return again ? Step::kTryElsewhere : WithoutRetry(ending, state);
  }
  if (again && MayRepeat(state.kind)) {
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

bool CallPolicy::StatesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

Duration CallPolicy::HedgeAfter(Duration objective, Duration usual) {
  return std::max(objective - Times(usual, kSecondFactor), Times(usual, kSlowFactor));
}

Duration CallPolicy::RetryAfter(Refusal refusal, Duration expected_wait, Duration left,
                                double spread) {
  const auto wait = refusal == Refusal::kByUpstream
                        ? Times(kSoonSpread, spread)
                        : std::max<Duration>(expected_wait, kShortestRetryAfter) +
                              Times(kRetryAfterSpread, spread);
  return std::max(Duration::zero(), std::min<Duration>(wait, left / kRetryAfterPart));
}

}  // namespace primroseweir
