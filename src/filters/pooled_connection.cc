#include "primroseweir/filters/pooled_connection.h"

#include <utility>

#include "primroseweir/base/time.h"
#include "primroseweir/filters/upstream_connections.h"

namespace primroseweir {

PooledConnection::PooledConnection(std::unique_ptr<ClientConnection> connection,
                                   std::shared_ptr<UpstreamConnections> owner)
    : connection_(std::move(connection)), owner_(std::move(owner)) {}

PooledConnection::PooledConnection(PooledConnection&& other) noexcept = default;

PooledConnection::~PooledConnection() {
  if (connection_ == nullptr) {
    return;
  }
  connection_->socket()->set_watched_descriptor(-1);
  if (is_unresponsive_) {
    connection_.reset();
    owner_->ReleaseUnresponsive(MonotonicNow());
  } else if (may_be_reused_ && connection_->IsReusable()) {
    owner_->Return(std::move(connection_));
  } else {
    connection_.reset();
    owner_->Release();
  }
}

}  // namespace primroseweir
