#include "primroseweir/balance/retry_policy.h"

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

RetryPolicy::Step RetryPolicy::NextStep(AttemptOutcome outcome, const State& state) {
  const bool again = state.attempts < state.max_attempts;
  if (outcome == AttemptOutcome::kNotExecuted) {
    return again ? Step::kRetry : StepWithoutRetry(outcome, state);
  }
  if (again && IsIdempotent(state.kind)) {
    return Step::kRetry;
  }
  return StepWithoutRetry(outcome, state);
}

RetryPolicy::Step RetryPolicy::StepWithoutRetry(AttemptOutcome outcome, const State& state) {
  switch (outcome) {
    case AttemptOutcome::kNotExecuted:
      return state.may_have_executed ? Step::kFail : Step::kRefuse;
    case AttemptOutcome::kFailed:
      return Step::kForwardFailure;
    case AttemptOutcome::kLost:
      break;
  }
  return Step::kFail;
}

bool RetryPolicy::IsNotExecutedStatus(int status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

Duration RetryPolicy::HedgeDelay(Duration objective, Duration latency_estimate) {
  return std::max(objective - Times(latency_estimate, kSecondFactor),
                  Times(latency_estimate, kSlowFactor));
}

Duration RetryPolicy::RetryAfter(RefusalReason reason, Duration expected_wait, Duration left,
                                 double jitter) {
  const auto wait =
      reason == RefusalReason::kRefusedByUpstream
          ? Times(kUpstreamRefusalJitter, jitter)
          : std::max<Duration>(expected_wait, kMinRetryAfter) + Times(kNoRoomJitter, jitter);
  return std::max(Duration::zero(), std::min<Duration>(wait, left / kRetryAfterDivisor));
}

}  // namespace primroseweir
