#ifndef PRIMROSEWEIR_GATEWAY_CONNECTION_REUSE_H_
#define PRIMROSEWEIR_GATEWAY_CONNECTION_REUSE_H_

namespace primroseweir {

// Which idle connections to an upstream a request may use.
enum class ConnectionReuse {
  // Any that the upstream is expected to keep open.
  kAny,
  // Only one that was used within UpstreamConnectionPool::kMaxRecentIdleTime. For calls that must
  // be
  // executed at most once: these can't be retried if the upstream has closed the connection, or if
  // the connection has become unresponsive.
  kRecentlyUsed,
  // None: the request gets a new connection. For calls without an id, whose response can't be
  // distinguished from a copy of an earlier one.
  kNone,
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_CONNECTION_REUSE_H_
