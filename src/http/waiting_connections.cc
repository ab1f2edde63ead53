#include "primroseweir/http/waiting_connections.h"

#include <tuple>
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
  const auto found = connections_.find(id);
  if (found != connections_.end()) {
    closed_count_ -= found->second.is_closed ? 1 : 0;
    connections_.erase(found);
  }
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

void WaitingConnections::SetServed(Id id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = connections_.find(id);
  if (found != connections_.end()) {
    found->second.has_been_served = true;
  }
}

std::size_t WaitingConnections::closed_count() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return closed_count_;
}

bool WaitingConnections::CloseLongestWaiting() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Connection* longest = nullptr;
  for (auto& [id, connection] : connections_) {
    if (connection.is_waiting && !connection.is_closed &&
        (longest == nullptr || std::tie(connection.has_been_served, connection.since) <
                                   std::tie(longest->has_been_served, longest->since))) {
      longest = &connection;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  longest->is_closed = true;
  ++closed_count_;
  longest->close();
  return true;
}

}  // namespace primroseweir
