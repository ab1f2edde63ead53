#ifndef PRIMROSEWEIR_BALANCE_RETRY_POLICY_H_
#define PRIMROSEWEIR_BALANCE_RETRY_POLICY_H_

#include <cstdint>

#include "primroseweir/base/time.h"
#include "primroseweir/routes/route.h"

namespace primroseweir {

// Decides how to proceed after an attempt that brought no usable response, and when a slow attempt
// is hedged by a second one.
//
// Load pattern: upstreams that fail a part of their calls, reset connections or stop responding,
// under calls of which some must be executed at most once.
class RetryPolicy {
 public:
  // Outcome of the last attempt.
  enum class AttemptEnd {
    // The upstream stated that it did not execute the call, or no byte of it was sent.
    kNotExecuted,
    // The upstream responded with a failure of its own.
    kFailed,
    // The response is unusable, or none arrived: the call may have been executed.
    kNoResponse,
  };

  enum class Step {
    // Send the call to another upstream.
    kRetry,
    // Forward the upstream's failure response to the caller.
    kForwardFailure,
    // Respond that the call was not executed.
    kRefuse,
    // Respond that the call failed and may have been executed.
    kFail,
  };

  // The properties of the call on which the decision depends.
  struct State {
    CallKind kind = CallKind::kIdempotent;
    // Number of upstreams that the call was sent to, and its maximum.
    std::uint32_t attempts = 0;
    std::uint32_t max_attempts = 1;
    // Whether an attempt before the last one may have been executed.
    bool may_have_executed = false;
  };

  // NextStep returns the next step. kRetry also needs permission from the retry budget when the
  // call was sent before; without it, the step of StepWithoutRetry follows.
  static Step NextStep(AttemptEnd outcome, const State& state);
  static Step StepWithoutRetry(AttemptEnd outcome, const State& state);

  // Returns whether a response with that status promises the caller that the call was not executed.
  // Once the call was sent, the caller may get such a status only if the upstream explicitly stated
  // that it did not execute the call.
  static bool IsNotExecutedStatus(int status);

  // Returns the time after which an idempotent call gets a second attempt in parallel with the
  // first.
  static Duration HedgeDelay(Duration latency_objective, Duration latency_estimate);

  // Reason of a refusal, as far as it determines when the caller should retry.
  enum class RefusalReason {
    // No upstream has room: callers should retry spread over the time in which room may appear.
    kNoRoom,
    // An upstream with room refused the call: a retry is as likely to succeed at once as later.
    kRefusedByUpstream,
  };

  // Returns the time after which a refused caller with `time_left` until its deadline should retry:
  // early enough that the call can still be served, and jittered so that callers refused together
  // do not retry together. `jitter` is uniform in [0, 1).
  static Duration RetryAfter(RefusalReason reason, Duration expected_wait, Duration time_left,
                             double jitter);

  // Returns the time after which a caller should retry when all upstreams of the service asked for
  // a pause, the first of which ends after `pause_left`. It may exceed the caller's remaining time:
  // a shorter one would be untrue.
  static Duration RetryAfterPause(Duration pause_left, double jitter);

  // A caller follows Retry-After only up to its remaining time divided by this.
  static constexpr int kRetryAfterDivisor = 3;
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
  static constexpr Duration kNoRoomJitter = std::chrono::milliseconds(250);
  static constexpr Duration kUpstreamRefusalJitter = std::chrono::milliseconds(20);
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_RETRY_POLICY_H_
