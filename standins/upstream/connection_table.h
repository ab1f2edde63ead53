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

// One accepted connection. An unresponsive one stays open, but its requests are no longer served
// (`reads_stopped`) or nothing more is written to it (`writes_stopped`).
struct Connection {
  explicit Connection(Socket accepted) : socket(std::move(accepted)) {}

  Socket socket;
  std::atomic<bool> reads_stopped{false};
  std::atomic<bool> writes_stopped{false};
};

// Connection counts since the start; `open` is the current number.
struct ConnectionCounters {
  std::uint64_t accepted = 0;
  std::uint32_t open = 0;
  std::uint32_t max_open = 0;
  // Connections rejected because the limit was reached.
  std::uint64_t over_limit = 0;
};

// The open connections of a stand-in upstream. Thread-safe.
class ConnectionTable {
 public:
  explicit ConnectionTable(std::uint32_t limit) : limit_(limit) {}

  // Adds an accepted connection; returns false if the limit is reached.
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

  // Makes the connections that are open now unresponsive and returns their number. Later
  // connections work.
  std::size_t MakeUnresponsive(bool stop_reads, bool stop_writes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& connection : connections_) {
      if (stop_reads) connection->reads_stopped = true;
      if (stop_writes) connection->writes_stopped = true;
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
