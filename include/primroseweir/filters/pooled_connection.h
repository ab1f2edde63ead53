#ifndef PRIMROSEWEIR_FILTERS_POOLED_CONNECTION_H_
#define PRIMROSEWEIR_FILTERS_POOLED_CONNECTION_H_

#include <memory>

#include "primroseweir/http/client_connection.h"

namespace primroseweir {

class UpstreamConnections;

// A connection acquired from the pool for one request. Its destructor returns the connection to the
// pool when the response is complete and the upstream keeps the connection open, and closes it
// otherwise.
class PooledConnection {
 public:
  PooledConnection(std::unique_ptr<ClientConnection> connection,
                   std::shared_ptr<UpstreamConnections> owner);
  ~PooledConnection();
  PooledConnection(PooledConnection&& other) noexcept;
  PooledConnection& operator=(PooledConnection&& other) = delete;

  ClientConnection* operator->() const { return connection_.get(); }
  ClientConnection* get() const { return connection_.get(); }

  // Marks the connection as unresponsive. It is closed, but counts against the share for another
  // ConnectionShare::kUnresponsiveHoldTime because the upstream may still hold it.
  void MarkUnresponsive() { is_unresponsive_ = true; }
  // Closes the connection after its current use instead of returning it.
  void PreventReuse() { may_be_reused_ = false; }

 private:
  std::unique_ptr<ClientConnection> connection_;
  std::shared_ptr<UpstreamConnections> owner_;
  bool is_unresponsive_ = false;
  bool may_be_reused_ = true;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_POOLED_CONNECTION_H_
