#include "primroseweir/limits/connection_share.h"

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {

ConnectionShare::ConnectionShare(const std::string& key, Seat seat, std::uint64_t seats,
                                 std::uint32_t connections)
    : rank_(RendezvousRank(key, seat.value(), seats)), seats_(seats), limit_(0) {
  SetConnections(connections);
}

void ConnectionShare::SetConnections(std::uint32_t connections) {
  const std::uint64_t share = connections / seats_ + (rank_ < connections % seats_ ? 1 : 0);
  limit_.store(static_cast<std::uint32_t>(share), std::memory_order_relaxed);
}

bool ConnectionShare::TryOpen(Instant now) {
  if (silent_.load(std::memory_order_relaxed) > 0) Release(now);
  std::uint32_t present = counted_.load(std::memory_order_relaxed);
  while (present < limit()) {
    if (counted_.compare_exchange_weak(present, present + 1, std::memory_order_relaxed))
      return true;
  }
  return false;
}

void ConnectionShare::Closed() { counted_.fetch_sub(1, std::memory_order_relaxed); }

void ConnectionShare::GivenUp(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  given_up_.push_back(now);
  silent_.fetch_add(1, std::memory_order_relaxed);
}

std::uint32_t ConnectionShare::counted(Instant now) {
  if (silent_.load(std::memory_order_relaxed) > 0) Release(now);
  return counted_.load(std::memory_order_relaxed);
}

void ConnectionShare::Release(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  while (!given_up_.empty() && now - given_up_.front() >= kSilentHold) {
    given_up_.pop_front();
    silent_.fetch_sub(1, std::memory_order_relaxed);
    counted_.fetch_sub(1, std::memory_order_relaxed);
  }
}

}  // namespace primroseweir
