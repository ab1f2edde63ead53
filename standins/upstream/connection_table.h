#ifndef STANDINS_UPSTREAM_CONNECTION_TABLE_H_
#define STANDINS_UPSTREAM_CONNECTION_TABLE_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <utility>

#include "wire/socket.h"

namespace primroseweir::standins {

// One accepted connection. A silent one stays open, but nothing is read from it (`silent_in`) or
// written to it (`silent_out`) any more.
struct Connection {
  explicit Connection(Socket accepted) : socket(std::move(accepted)) {}

  Socket socket;
  std::atomic<bool> silent_in{false};
  std::atomic<bool> silent_out{false};
};

struct ConnectionCounters {
  std::uint64_t accepted = 0;
  std::uint32_t open = 0;
  std::uint32_t max_open = 0;
  // Connections closed because the limit was reached.
  std::uint64_t over_limit = 0;
};

// The open connections of a stand-in upstream. Safe for several threads.
class ConnectionTable {
 public:
  explicit ConnectionTable(std::uint32_t limit) : limit_(limit) {}

  // False when the limit is reached.
  bool Add(const std::shared_ptr<Connection>& connection) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counters_.accepted;
    if (connections_.size() >= limit_) {
      ++counters_.over_limit;
      return false;
    }
    connections_.insert(connection);
    counters_.max_open =
        std::max(counters_.max_open, static_cast<std::uint32_t>(connections_.size()));
    return true;
  }

  void Remove(const std::shared_ptr<Connection>& connection) {
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.erase(connection);
  }

  // Makes the connections that are open now silent; later ones work. Answers their number.
  std::size_t Silence(bool in, bool out) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& connection : connections_) {
      if (in) connection->silent_in = true;
      if (out) connection->silent_out = true;
    }
    return connections_.size();
  }

  ConnectionCounters Counters() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    ConnectionCounters counters = counters_;
    counters.open = static_cast<std::uint32_t>(connections_.size());
    return counters;
  }

 private:
  const std::uint32_t limit_;
  mutable std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> connections_;
  ConnectionCounters counters_;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_CONNECTION_TABLE_H_
