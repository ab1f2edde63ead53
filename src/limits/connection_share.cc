#include "primroseweir/limits/connection_share.h"

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {

ConnectionShare::ConnectionShare(const std::string& upstream_key, Seat seat,
                                 std::uint64_t seat_count, std::uint32_t connections)
    : rank_(RendezvousRank(upstream_key, seat.value(), seat_count)),
      seat_count_(seat_count),
      limit_(0) {
  SetConnections(connections);
}

void ConnectionShare::SetConnections(std::uint32_t connections) {
  const std::uint64_t share =
      connections / seat_count_ + (rank_ < connections % seat_count_ ? 1 : 0);
  limit_.store(static_cast<std::uint32_t>(share), std::memory_order_relaxed);
}

bool ConnectionShare::TryOpen(Instant now) {
  if (unresponsive_count_.load(std::memory_order_relaxed) > 0) ReleaseExpired(now);
  std::uint32_t current = open_count_.load(std::memory_order_relaxed);
  while (current < limit()) {
    if (open_count_.compare_exchange_weak(current, current + 1, std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

void ConnectionShare::Release() { open_count_.fetch_sub(1, std::memory_order_relaxed); }

void ConnectionShare::ReleaseUnresponsive(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  unresponsive_since_.push_back(now);
  unresponsive_count_.fetch_add(1, std::memory_order_relaxed);
}

std::uint32_t ConnectionShare::open_count(Instant now) {
  if (unresponsive_count_.load(std::memory_order_relaxed) > 0) ReleaseExpired(now);
  return open_count_.load(std::memory_order_relaxed);
}

void ConnectionShare::ReleaseExpired(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  while (!unresponsive_since_.empty() &&
         now - unresponsive_since_.front() >= kUnresponsiveHoldTime) {
    unresponsive_since_.pop_front();
    unresponsive_count_.fetch_sub(1, std::memory_order_relaxed);
    open_count_.fetch_sub(1, std::memory_order_relaxed);
  }
}

}  // namespace primroseweir
