#ifndef PRIMROSEWEIR_BALANCE_RETRY_POLICY_H_
#define PRIMROSEWEIR_BALANCE_RETRY_POLICY_H_

#include <cstdint>

#include "primroseweir/base/time.h"
#include "primroseweir/routes/route.h"

namespace primroseweir {

// Decides what follows an attempt of a call that did not bring a usable answer, and when a second
// attempt runs beside a slow one.
//
// Load pattern: upstreams that fail in part, reset connections or fall silent, under calls of which
// some must run at most once.
class RetryPolicy {
 public:
  // How the last attempt ended.
  enum class AttemptOutcome {
    // The upstream stated that it did not run the call, or no byte of it was sent.
    kNotExecuted,
    // The upstream answered with a failure of its own.
    kFailed,
    // The answer is unusable, or none came: the call may have run.
    kLost,
  };

  enum class Step {
    // Send the call to another upstream.
    kRetry,
    // Pass the upstream's own failure on.
    kForwardFailure,
    // Answer that the call did not run.
    kRefuse,
    // Answer that the call failed and may have run.
    kFail,
  };

  // What is known about the call.
  struct State {
    CallKind kind = CallKind::kIdempotent;
    // Upstreams that the call was sent to, and how many are allowed.
    std::uint32_t attempts = 0;
    std::uint32_t max_attempts = 1;
    // An attempt before the last one may have run.
    bool may_have_executed = false;
  };

  // The next step. kRetry still needs the budget's permission when the call was sent before;
  // without it, StepWithoutRetry says what follows.
  static Step NextStep(AttemptOutcome outcome, const State& state);
  static Step StepWithoutRetry(AttemptOutcome outcome, const State& state);

  // Whether an answer with that status promises its caller that the call did not run; only the
  // upstream's explicit word allows it once the call was sent.
  static bool IsNotExecutedStatus(int status);

  // Time after which a repeatable call gets a second attempt beside the first.
  static Duration HedgeDelay(Duration objective, Duration latency_estimate);

  // Why a call is refused, as far as it decides when the caller should come back.
  enum class RefusalReason {
    // There is no room: callers come back spread over the time in which there may be some.
    kNoRoom,
    // Upstreams with room refused the call: another try is as likely to succeed at once as later.
    kRefusedByUpstream,
  };

  // Time that a refused caller should stay away, by its time left: soon enough that it can still
  // be served, and spread so that callers refused together do not return together. `spread` is
  // uniform in [0, 1).
  static Duration RetryAfter(RefusalReason reason, Duration expected_wait, Duration left,
                             double jitter);

  // A caller follows Retry-After up to this part of the time it has left.
  static constexpr int kRetryAfterDivisor = 3;
  static constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
  static constexpr Duration kNoRoomJitter = std::chrono::milliseconds(250);
  // Spread of callers that an upstream refused.
  static constexpr Duration kUpstreamRefusalJitter = std::chrono::milliseconds(20);
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_RETRY_POLICY_H_
