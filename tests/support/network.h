#ifndef TESTS_SUPPORT_NETWORK_H_
#define TESTS_SUPPORT_NETWORK_H_

#include <string>

#include "primroseweir/base/socket_address.h"
#include "wire/listener.h"

namespace primroseweir::testing {

// A loopback network 127.A.B.0/24, reserved against other sites until this object is destroyed.
class Network {
 public:
  // Reserves a random network on which sample addresses can be bound. Throws std::runtime_error
  // after 100 failed attempts.
  Network();

  // Returns the address of host number `host`. Host numbers are the same in each network, so that
  // golden files hold for any network.
  SocketAddress Host(int host, int port) const;
  // First three octets with a trailing dot, "127.A.B.".
  const std::string& prefix() const { return prefix_; }

 private:
  std::string prefix_;
  // Stays bound while the network is in use: another site that picks this prefix fails to bind it.
  standins::Listener reservation_;
};

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_NETWORK_H_
