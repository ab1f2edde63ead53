#include "primroseweir/loop/connection_registry.h"

#include <algorithm>
#include <utility>

#include "primroseweir/loop/connection_eviction.h"

namespace primroseweir {

std::size_t ConnectionRegistry::MaxConnectionsFor(std::size_t descriptors) {
  constexpr std::size_t kFileDescriptors = 200;
  constexpr std::size_t kMinConnections = 16;
  const auto sockets = descriptors - std::min(descriptors, kFileDescriptors);
  return std::clamp(sockets / 8 * 5, kMinConnections, kMaxConnections);
}

void ConnectionRegistry::Remove(Connection* connection) {
  connections_.erase(connection);
  held_back_.erase(connection);
}

bool ConnectionRegistry::MakeRoom(Instant now) {
  if (connections_.size() < max_connections_) {
    return true;
  }
  // Several at a time: the choice looks at all connections.
  const auto count = connections_.size() - max_connections_ + 1 + max_connections_ / 32;
  evicted_for_connections_ += Evict(0, count, Shortage::kConnections, now);
  if (connections_.size() < max_connections_) {
    return true;
  }
  ++refused_;
  return false;
}

void ConnectionRegistry::RelieveMemory(Instant now) {
  const auto excess_bytes = memory_.excess_bytes();
  if (excess_bytes > 0 && now >= next_eviction_at_) {
    const auto count = Evict(static_cast<std::uint64_t>(excess_bytes), 0, Shortage::kMemory, now);
    evicted_for_memory_ += count;
    if (count == 0) {
      next_eviction_at_ = now + kEvictionRetryDelay;
    }
  }
  if (!memory_.is_over() && !held_back_.empty()) {
    const auto held_back = std::exchange(held_back_, {});
    for (auto* connection : held_back) {
      if (connections_.count(connection) > 0) {
        connection->Continue();
      }
    }
  }
}

std::size_t ConnectionRegistry::Evict(std::uint64_t bytes, std::size_t connections,
                                      Shortage shortage, Instant now) {
  const std::vector<Connection*> all(connections_.begin(), connections_.end());
  std::vector<ConnectionLoad> loads;
  loads.reserve(all.size());
  for (auto* connection : all) {
    loads.push_back(connection->Load(now));
  }
  std::size_t count = 0;
  for (const auto index : ConnectionEviction::Choose(loads, bytes, connections)) {
    // The end of one request may end others, which waited for it.
    if (connections_.count(all[index]) > 0) {
      all[index]->Evict(shortage);
      ++count;
    }
  }
  return count;
}

}  // namespace primroseweir
