#include "support/network.h"

#include <stdexcept>
#include <utility>

#include "primroseweir/base/random.h"

namespace primroseweir::testing {
namespace {

constexpr int kClaimHost = 254;
constexpr int kClaimPort = 6999;
constexpr int kAttempts = 100;

}  // namespace

Network::Network() {
  Random random(EntropySeed());
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    // 127.0 is left to the machine's own services.
    prefix_ = "127." + std::to_string(1 + random.Below(254)) + "." +
              std::to_string(random.Below(256)) + ".";
    auto claim = standins::Listener::Open(Host(kClaimHost, kClaimPort));
    const bool free = claim.ok() && standins::Listener::Open(Host(1, 9000)).ok() &&
                      standins::Listener::Open(Host(10, 8080)).ok() &&
                      standins::Listener::Open(Host(100, 7000)).ok();
    if (!free) continue;
    claim_ = *std::move(claim);
    return;
  }
  throw std::runtime_error("no free loopback network found");
}

SocketAddress Network::Host(int host, int port) const {
  return {prefix_ + std::to_string(host), static_cast<std::uint16_t>(port)};
}

}  // namespace primroseweir::testing
