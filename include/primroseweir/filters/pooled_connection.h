#ifndef PRIMROSEWEIR_FILTERS_POOLED_CONNECTION_H_
#define PRIMROSEWEIR_FILTERS_POOLED_CONNECTION_H_

#include <memory>

#include "primroseweir/http/client_connection.h"

namespace primroseweir {

class UpstreamConnections;

// A connection taken from the pool for one request. Returns to the pool at its destruction when the
// answer was whole, else it is closed.
class PooledConnection {
 public:
  PooledConnection(std::unique_ptr<ClientConnection> connection,
                   std::shared_ptr<UpstreamConnections> owner);
  ~PooledConnection();
  PooledConnection(PooledConnection&& other) noexcept;
  PooledConnection& operator=(PooledConnection&& other) = delete;

  ClientConnection* operator->() const { return connection_.get(); }
  ClientConnection* get() const { return connection_.get(); }

  // The connection went silent: its place stays taken for a while.
  void MarkUnresponsive() { is_unresponsive_ = true; }

 private:
  std::unique_ptr<ClientConnection> connection_;
  std::shared_ptr<UpstreamConnections> owner_;
  bool is_unresponsive_ = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_POOLED_CONNECTION_H_
