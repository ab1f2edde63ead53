#ifndef PRIMROSEWEIR_GATEWAY_CALL_HEADER_NAMES_H_
#define PRIMROSEWEIR_GATEWAY_CALL_HEADER_NAMES_H_

#include <string>

namespace primroseweir {

// Names of the header fields that callers, upstreams and the gateway exchange. The deployment's
// adapter states them.
struct CallHeaderNames {
  // Identifies one attempt of a caller; repeated in the answer.
  std::string request_id;
  // Milliseconds that the caller still waits.
  std::string deadline;
  // Names the upstream that may run the call; another one answers 421.
  std::string expected_upstream;
  // Running calls, waiting calls, slots, slowdown in percent.
  std::string load;
  // Present when the upstream did not run the call.
  std::string not_executed;
  // Marks an upstream's own answer.
  std::string signature;
  // Upstream that answers a probe.
  std::string upstream_id;
  // Milliseconds that the upstream stays cold, in the answer to a probe.
  std::string warm_up_left;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_CALL_HEADER_NAMES_H_
