#include "support/network.h"

#include <stdexcept>
#include <utility>

#include "primroseweir/base/random.h"

namespace primroseweir::testing {
namespace {

constexpr int kReservationHost = 254;
constexpr int kReservationPort = 6999;
constexpr int kMaxAttempts = 100;

}  // namespace

Network::Network() {
  Random random(EntropySeed());
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    // 127.0.0.0/16 is excluded: it is left to the services of the machine.
    prefix_ = "127." + std::to_string(1 + random.UniformBelow(254)) + "." +
              std::to_string(random.UniformBelow(256)) + ".";
    auto reservation = standins::Listener::Open(Host(kReservationHost, kReservationPort));
    const bool is_free = reservation.ok() && standins::Listener::Open(Host(1, 9000)).ok() &&
                         standins::Listener::Open(Host(10, 8080)).ok() &&
                         standins::Listener::Open(Host(100, 7000)).ok();
    if (!is_free) continue;
    reservation_ = *std::move(reservation);
    return;
  }
  throw std::runtime_error("no free loopback network found");
}

SocketAddress Network::Host(int host, int port) const {
  return {prefix_ + std::to_string(host), static_cast<std::uint16_t>(port)};
}

}  // namespace primroseweir::testing
