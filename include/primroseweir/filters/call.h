#ifndef PRIMROSEWEIR_FILTERS_CALL_H_
#define PRIMROSEWEIR_FILTERS_CALL_H_

#include <cstdint>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/http/message_limits.h"
#include "primroseweir/routing/call_request.h"

namespace primroseweir {

class ResponseSink;
class ServerConnection;
struct RequestHead;

// One caller's call on its way through the filter chain. Each filter fills in what it decides.
struct Call {
  ServerConnection* caller = nullptr;
  RequestHead* request = nullptr;
  ResponseSink* sink = nullptr;
  Instant arrived;

  // ---- request id ----
  RequestId id;

  // ---- route ----
  ServiceName service;
  // Target at the upstream, "/REST".
  std::string target;
  Instant deadline;
  // Nesting, 0 for the outermost hop.
  int depth = 0;
  Priority priority = Priority::kNormal;
  // Whether the call may be executed more than once.
  bool idempotent = true;
  // Longest pause of a body that is sent on while it arrives: it holds a slot of an upstream.
  Duration body_idle_timeout = MessageLimits().body_idle_timeout;

  // ---- body ----
  // The body, or its first 64 KB when body_complete is false.
  std::string body;
  bool body_complete = true;
  // Hash of method, target and the first 64 KB of the body.
  std::uint64_t fingerprint = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CALL_H_
