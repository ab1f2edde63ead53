#include "primroseweir/filters/upstream_connections.h"

#include <utility>

#include "primroseweir/configuration/upstream_record.h"
#include "primroseweir/http/client_connection.h"
#include "primroseweir/http/socket_stream.h"

namespace primroseweir {
namespace {

bool IsIdleLongerThan(const ClientConnection& connection, Duration age, Instant now) {
  return now - connection.socket()->last_received() > age;
}

}  // namespace

UpstreamConnections::UpstreamConnections(const UpstreamRecord& record, Seat seat,
                                         std::uint64_t seat_count)
    : address_(record.address),
      share_(record.id.value(), seat, seat_count, record.connections),
      idle_slots_(share_.limit()) {}

UpstreamConnections::~UpstreamConnections() { CloseIdle(); }

std::unique_ptr<ClientConnection> UpstreamConnections::AcquireIdle(bool recently_used,
                                                                   Instant now) {
  for (auto& slot : idle_slots_) {
    std::unique_ptr<ClientConnection> connection(slot.exchange(nullptr));
    if (connection == nullptr) {
      continue;
    }
    if (!connection->IsOpen() || IsIdleLongerThan(*connection, kMaxIdleTime, now)) {
      Release();
    } else if (recently_used && IsIdleLongerThan(*connection, kMaxRecentUseAge, now)) {
      Return(std::move(connection));
    } else {
      return connection;
    }
  }
  return nullptr;
}

bool UpstreamConnections::EvictIdle() {
  for (auto& slot : idle_slots_) {
    const std::unique_ptr<ClientConnection> connection(slot.exchange(nullptr));
    if (connection != nullptr) {
      return true;
    }
  }
  return false;
}

bool UpstreamConnections::Reserve(Instant now) {
  return !is_draining_.load() && share_.TryOpen(now);
}

void UpstreamConnections::Return(std::unique_ptr<ClientConnection> connection) {
  for (auto& slot : idle_slots_) {
    ClientConnection* expected = nullptr;
    if (slot.compare_exchange_strong(expected, connection.get())) {
      // `slot` owns the connection now.
      static_cast<void>(connection.release());
      break;
    }
  }
  if (connection != nullptr) {
    connection.reset();
    Release();
  }
  if (is_draining_.load()) {
    CloseIdle();
  }
}

void UpstreamConnections::CloseExpired(Instant now) {
  for (auto& slot : idle_slots_) {
    std::unique_ptr<ClientConnection> connection(slot.exchange(nullptr));
    if (connection == nullptr) {
      continue;
    }
    if (IsIdleLongerThan(*connection, kMaxIdleTime, now) || !connection->IsOpen()) {
      Release();
    } else {
      Return(std::move(connection));
    }
  }
}

void UpstreamConnections::Drain() {
  is_draining_.store(true);
  CloseIdle();
}

void UpstreamConnections::CloseIdle() {
  while (EvictIdle()) {
    Release();
  }
}

}  // namespace primroseweir
