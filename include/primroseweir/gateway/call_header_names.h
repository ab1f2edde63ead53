#ifndef PRIMROSEWEIR_GATEWAY_CALL_HEADER_NAMES_H_
#define PRIMROSEWEIR_GATEWAY_CALL_HEADER_NAMES_H_

#include <string>

namespace primroseweir {

// Names of the header fields that callers, upstreams and the gateway exchange. They are set by the
// platform code of the deployment.
struct CallHeaderNames {
  // Identifies one request of a caller; echoed in the response.
  std::string request_id;
  // Time left until the caller's deadline, in milliseconds.
  std::string deadline;
  // Id of the upstream that may execute the call; any other upstream responds with 421.
  std::string expected_upstream;
  // Load report: running calls, waiting calls, slots and, optionally, slowdown in percent.
  std::string load;
  // Present if the upstream did not execute the call.
  std::string not_executed;
  // Present in responses that the upstream itself produced.
  std::string signature;
  // "1" in each response of an upstream that is about to leave.
  std::string leaving;
  // Id of the upstream that responds to a probe.
  std::string upstream_id;
  // Remaining warm-up time of the upstream in milliseconds, in the response to a probe.
  std::string warm_up_left;
  // Authentication scheme of the Authorization field that carries a customer's key.
  std::string key_scheme;
  // Name of the customer that makes the call, set in the request to the upstream.
  std::string customer;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_CALL_HEADER_NAMES_H_
