#ifndef PRIMROSEWEIR_GATEWAY_CONNECTION_REUSE_H_
#define PRIMROSEWEIR_GATEWAY_CONNECTION_REUSE_H_

namespace primroseweir {

// Which idle connections to an upstream a request may use.
enum class ConnectionReuse {
  kAny,
  // For a call that must be executed at most once and can't be retried: it would be lost on a
  // connection that the upstream closed or that became unresponsive while it was idle for long.
  kRecentlyUsed,
  // For a call without an id, whose response can't be distinguished from a copy of an earlier one.
  kNone,
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_CONNECTION_REUSE_H_
