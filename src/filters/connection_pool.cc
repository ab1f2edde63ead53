#include "primroseweir/filters/connection_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/filters/upstream_connections.h"

namespace primroseweir {
namespace {

// Opening a connection takes about 1 ms. An upstream that does not accept within this timeout is
// treated as unreachable, so that the call can still be sent to another one.
constexpr auto kConnectTimeout = std::chrono::seconds(1);

}  // namespace

ConnectionPool::ConnectionPool(const Options& options)
    : options_(options), table_(std::make_shared<const Table>()) {}

ConnectionPool::~ConnectionPool() = default;

absl::StatusOr<PooledConnection> ConnectionPool::Acquire(const UpstreamRecord& record,
                                                         bool recently_used, Instant now,
                                                         Instant deadline) {
  const auto table = table_.Load();
  const auto entry = table->find(record.id);
  if (entry == table->end() || is_seat_taken_.load()) {
    return absl::UnavailableError(
        "the upstream is not listed or another process has the seat of this instance");
  }
  auto owner = entry->second;
  auto idle = owner->AcquireIdle(recently_used, now);
  if (idle != nullptr) {
    return PooledConnection(std::move(idle), std::move(owner));
  }
  if (!owner->Reserve(now) && !owner->EvictIdle()) {
    return absl::ResourceExhaustedError(
        "all connections of the share for this upstream are in use");
  }
  auto connection = ClientConnection::Open(
      record.address, std::min(deadline, now + kConnectTimeout), options_.limits);
  if (!connection.ok()) {
    owner->Release();
    return connection.status();
  }
  return PooledConnection(std::move(*connection), std::move(owner));
}

std::shared_ptr<UpstreamConnections> ConnectionPool::FindOrCreate(
    const Table& old, const UpstreamRecord& record) const {
  const auto existing = old.find(record.id);
  if (existing != old.end() && existing->second->address() == record.address) {
    existing->second->share()->SetConnections(record.connections);
    return existing->second;
  }
  return std::make_shared<UpstreamConnections>(record, options_.seat, options_.seat_count);
}

void ConnectionPool::Apply(const ConfigurationSnapshot& snapshot) {
  const std::lock_guard<std::mutex> lock(apply_mutex_);
  const std::shared_ptr<const Table> old = table_.Load();
  auto table = std::make_shared<Table>();
  for (const auto& record : snapshot.upstreams) {
    const auto connections = FindOrCreate(*old, record);
    if (record.state == ListedState::kLeaving) {
      connections->CloseIdle();
    }
    (*table)[record.id] = connections;
  }
  const std::shared_ptr<const Table> replacement = table;
  table_.Store(replacement);
  for (const auto& [id, connections] : *old) {
    const auto kept = table->find(id);
    if (kept == table->end() || kept->second != connections) {
      connections->Drain();
    }
  }
}

void ConnectionPool::SetSeatTaken(bool taken) {
  is_seat_taken_.store(taken);
  if (!taken) {
    return;
  }
  const auto table = table_.Load();
  for (const auto& [id, connections] : *table) {
    connections->CloseIdle();
  }
}

void ConnectionPool::CloseExpired(Instant now) {
  const auto table = table_.Load();
  for (const auto& [id, connections] : *table) {
    connections->CloseExpired(now);
  }
}

}  // namespace primroseweir
