#include "primroseweir/http/waiting_connections.h"

#include <utility>

namespace primroseweir {

WaitingConnections::Id WaitingConnections::Add(std::function<void()> close) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto id = next_id_++;
  connections_[id].close = std::move(close);
  return id;
}

void WaitingConnections::Remove(Id id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(id);
}

void WaitingConnections::StartWaiting(Id id, Instant since) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = connections_.find(id);
  if (found != connections_.end()) {
    found->second.is_waiting = true;
    found->second.since = since;
  }
}

bool WaitingConnections::StopWaiting(Id id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return false;
  }
  found->second.is_waiting = false;
  return !found->second.is_closed;
}

bool WaitingConnections::CloseLongestWaiting() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Connection* longest = nullptr;
  for (auto& [id, connection] : connections_) {
    if (connection.is_waiting && !connection.is_closed &&
        (longest == nullptr || connection.since < longest->since)) {
      longest = &connection;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  longest->is_closed = true;
  longest->close();
  return true;
}

}  // namespace primroseweir
