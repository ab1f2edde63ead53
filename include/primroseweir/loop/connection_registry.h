#ifndef PRIMROSEWEIR_LOOP_CONNECTION_REGISTRY_H_
#define PRIMROSEWEIR_LOOP_CONNECTION_REGISTRY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <vector>

#include "primroseweir/base/time.h"
#include "primroseweir/loop/connection_load.h"
#include "primroseweir/loop/memory_account.h"

namespace primroseweir {

// All callers' connections of a process, over all its ports, with the memory that peers make it
// hold. Closes connections, chosen by ConnectionEviction, when memory or connections run short.
class ConnectionRegistry {
 public:
  enum class Shortage { kMemory, kConnections };

  class Connection {
   public:
    virtual ~Connection() = default;
    virtual ConnectionLoad Load(Instant now) = 0;
    // Releases what the connection holds: rejects its request or closes it. May destroy it.
    virtual void Evict(Shortage shortage) = 0;
    // Called after HoldBack, when memory is available again.
    virtual void Continue() = 0;
  };

  void Add(Connection* connection) { connections_.insert(connection); }
  void Remove(Connection* connection);
  // Registers a connection that stopped reading because memory ran short.
  void HoldBack(Connection* connection) { held_back_.insert(connection); }

  // Closes connections until there is room for one more. Returns false if that is not possible.
  bool MakeRoom(Instant now);
  // Closes connections if peers hold more memory than the budget, then continues those that were
  // held back. Called after each turn of the event loop.
  void RelieveMemory(Instant now);
  bool has_work() const { return memory_.is_over() || !held_back_.empty(); }

  void SetMaxConnections(std::size_t connections) { max_connections_ = connections; }
  MemoryAccount& memory() { return memory_; }
  const MemoryAccount& memory() const { return memory_; }
  std::size_t size() const { return connections_.size(); }
  // Connections that were closed, or whose request was rejected, for lack of memory and of
  // connections, and those that were refused because none could be closed.
  std::uint64_t evicted_for_memory() const { return evicted_for_memory_; }
  std::uint64_t evicted_for_connections() const { return evicted_for_connections_; }
  std::uint64_t refused() const { return refused_; }

  // Returns the connections of callers for which a process with `descriptors` has room: 200 are
  // left for files, and three eighths of the others for connections to upstreams and other
  // instances.
  static std::size_t MaxConnectionsFor(std::size_t descriptors);
  // Half of the descriptors of the machines that most users have.
  static constexpr std::size_t kMaxConnections = 2000;
  // If no connection may be closed for the sake of memory, the choice among all of them, which
  // takes a part of a millisecond, is not repeated in each turn of the loop.
  static constexpr Duration kEvictionRetryDelay = std::chrono::milliseconds(10);

 private:
  // Evicts connections that together hold `bytes` and are as many as `connections`. Returns how
  // many were evicted.
  std::size_t Evict(std::uint64_t bytes, std::size_t connections, Shortage shortage, Instant now);

  MemoryAccount memory_;
  std::unordered_set<Connection*> connections_;
  std::unordered_set<Connection*> held_back_;
  Instant next_eviction_at_;
  std::size_t max_connections_ = kMaxConnections;
  std::uint64_t evicted_for_memory_ = 0;
  std::uint64_t evicted_for_connections_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LOOP_CONNECTION_REGISTRY_H_
