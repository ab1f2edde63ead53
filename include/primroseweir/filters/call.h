#ifndef PRIMROSEWEIR_FILTERS_CALL_H_
#define PRIMROSEWEIR_FILTERS_CALL_H_

#include <cstdint>
#include <optional>
#include <string>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/customers/customer.h"
#include "primroseweir/http/message_limits.h"
#include "primroseweir/routing/call_request.h"

namespace primroseweir {

class ResponseSink;
class ServerConnection;
struct RequestHead;

// A caller's call in the filter chain. Each filter fills in the fields that it determines.
struct Call {
  ServerConnection* caller = nullptr;
  RequestHead* request = nullptr;
  ResponseSink* sink = nullptr;
  Instant arrived_at;

  // ---- request id ----
  RequestId id;

  // ---- route ----
  ServiceName service;
  // Request target for the upstream: the caller's target without the leading service name.
  std::string target;
  Instant deadline;
  // Nesting depth, 0 for the outermost hop.
  int depth = 0;
  Priority priority = Priority::kNormal;
  // Whether the call may be executed more than once.
  bool is_idempotent = true;
  // Maximum pause of a request body that is streamed to the upstream while it arrives. It is
  // limited because the call holds a slot of the upstream meanwhile.
  Duration body_idle_timeout = MessageLimits().body_idle_timeout;

  // ---- customer ----
  // No value for an anonymous caller.
  std::optional<Customer> customer;
  // Whether the configuration had customers when the caller was identified, now or earlier: the
  // Authorization field then holds a key, which upstreams must not see.
  bool must_hide_key = false;
  // Whether the response is that of the issuer of the call key, which counts the call.
  bool was_forwarded = false;

  // ---- body ----
  // The whole body, or at least its first 64 KB when is_body_complete is false.
  std::string body;
  bool is_body_complete = true;
  // Hash of method, target and the first 64 KB of the body.
  std::uint64_t fingerprint = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CALL_H_
