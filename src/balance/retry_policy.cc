#include "primroseweir/balance/retry_policy.h"

#include <algorithm>
#include <chrono>

namespace primroseweir {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// Minimum hedge delay as a multiple of the latency estimate: a call that takes longer is likely to
// be at a slow or unresponsive upstream.
constexpr double kMinHedgeDelayFactor = 1.6;
// Time that a second attempt needs to get its response, as a multiple of the latency estimate.
constexpr double kSecondAttemptFactor = 1.3;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(duration) * factor);
}

}  // namespace

RetryPolicy::Step RetryPolicy::NextStep(AttemptEnd outcome, const State& state) {
  const bool has_attempts_left = state.attempts < state.max_attempts;
  if (outcome == AttemptEnd::kNotExecuted) {
    return has_attempts_left ? Step::kRetry : StepWithoutRetry(outcome, state);
  }
  if (has_attempts_left && IsIdempotent(state.kind)) {
    return Step::kRetry;
  }
  return StepWithoutRetry(outcome, state);
}

RetryPolicy::Step RetryPolicy::StepWithoutRetry(AttemptEnd outcome, const State& state) {
  switch (outcome) {
    case AttemptEnd::kNotExecuted:
      return state.may_have_executed ? Step::kFail : Step::kRefuse;
    case AttemptEnd::kFailed:
      return Step::kForwardFailure;
    case AttemptEnd::kNoResponse:
      break;
  }
  return Step::kFail;
}

bool RetryPolicy::IsNotExecutedStatus(int status) {
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kUnavailable;
}

Duration RetryPolicy::HedgeDelay(Duration latency_objective, Duration latency_estimate) {
  return std::max(latency_objective - Scale(latency_estimate, kSecondAttemptFactor),
                  Scale(latency_estimate, kMinHedgeDelayFactor));
}

Duration RetryPolicy::RetryAfterPause(Duration pause_left, double jitter) {
  return std::max<Duration>(pause_left, kMinRetryAfter) + Scale(kNoRoomJitter, jitter);
}

Duration RetryPolicy::RetryAfter(RefusalReason reason, Duration expected_wait, Duration time_left,
                                 double jitter) {
  const auto wait =
      reason == RefusalReason::kRefusedByUpstream
          ? Scale(kUpstreamRefusalJitter, jitter)
          : std::max<Duration>(expected_wait, kMinRetryAfter) + Scale(kNoRoomJitter, jitter);
  return std::max(Duration::zero(), std::min<Duration>(wait, time_left / kRetryAfterDivisor));
}

}  // namespace primroseweir
