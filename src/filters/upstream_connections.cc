#include "primroseweir/filters/upstream_connections.h"

#include <utility>

#include "primroseweir/http/client_connection.h"
#include "primroseweir/http/socket_stream.h"

namespace primroseweir {
namespace {

bool Idle(const ClientConnection& connection, Duration age, Instant now) {
  return now - connection.socket()->last_received() > age;
}

}  // namespace

UpstreamConnections::UpstreamConnections(const SocketAddress& address, std::size_t share)
    : address_(address), share_(share), idle_(share), silent_(share) {}

UpstreamConnections::~UpstreamConnections() { CloseIdle(); }

std::unique_ptr<ClientConnection> UpstreamConnections::TakeIdle(bool proven, Instant now) {
  for (auto& slot : idle_) {
    std::unique_ptr<ClientConnection> connection(slot.exchange(nullptr));
    if (connection == nullptr) {
      continue;
    }
    if (!connection->StillOpen() || Idle(*connection, kMaxIdle, now)) {
      Release();
    } else if (proven && Idle(*connection, kProvenAge, now)) {
      Put(std::move(connection));
    } else {
      return connection;
    }
  }
  return nullptr;
}

bool UpstreamConnections::ReplaceIdle() {
  for (auto& slot : idle_) {
    const std::unique_ptr<ClientConnection> connection(slot.exchange(nullptr));
    if (connection != nullptr) {
      return true;
    }
  }
  return false;
}

bool UpstreamConnections::Reserve(Instant now) {
  ReleaseExpired(now);
  auto open = open_.load();
  while (open < share_ && !retired_.load()) {
    if (open_.compare_exchange_weak(open, open + 1)) {
      return true;
    }
  }
  return false;
}

void UpstreamConnections::Put(std::unique_ptr<ClientConnection> connection) {
  for (auto& slot : idle_) {
    ClientConnection* expected = nullptr;
    if (slot.compare_exchange_strong(expected, connection.get())) {
      // The slot owns it now.
      static_cast<void>(connection.release());
      break;
    }
  }
  if (connection != nullptr) {
    connection.reset();
    Release();
  }
  if (retired_.load()) {
    CloseIdle();
  }
}

void UpstreamConnections::Release() { open_.fetch_sub(1); }

void UpstreamConnections::ReleaseSilent(Instant now) {
  const std::int64_t expiry = (now + kSilentHold).time_since_epoch().count();
  for (auto& slot : silent_) {
    std::int64_t expected = 0;
    if (slot.compare_exchange_strong(expected, expiry)) {
      return;
    }
  }
  // Cannot happen while each open connection has a slot; the place stays taken.
}

void UpstreamConnections::ReleaseExpired(Instant now) {
  for (auto& slot : silent_) {
    auto expiry = slot.load();
    if (expiry != 0 && expiry <= now.time_since_epoch().count() &&
        slot.compare_exchange_strong(expiry, 0)) {
      Release();
    }
  }
}

void UpstreamConnections::CloseOld(Instant now) {
  for (auto& slot : idle_) {
    std::unique_ptr<ClientConnection> connection(slot.exchange(nullptr));
    if (connection == nullptr) {
      continue;
    }
    if (Idle(*connection, kMaxIdle, now) || !connection->StillOpen()) {
      Release();
    } else {
      Put(std::move(connection));
    }
  }
}

void UpstreamConnections::Retire() {
  retired_.store(true);
  CloseIdle();
}

void UpstreamConnections::CloseIdle() {
  while (ReplaceIdle()) {
    Release();
  }
}

}  // namespace primroseweir
