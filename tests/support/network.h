#ifndef TESTS_SUPPORT_NETWORK_H_
#define TESTS_SUPPORT_NETWORK_H_

#include <string>

#include "primroseweir/base/socket_address.h"
#include "wire/listener.h"

namespace primroseweir::testing {

// A network 127.A.B.0/24 that no other site uses while this object lives.
class Network {
 public:
  // Takes a random network whose addresses are free. Throws std::runtime_error after many tries.
  Network();

  // Address of a host, with the same host numbers in each network so that golden files agree.
  SocketAddress Host(int host, int port) const;
  const std::string& prefix() const { return prefix_; }

 private:
  std::string prefix_;
  // Held as long as the network is in use; another site can't bind it.
  standins::Listener claim_;
};

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_NETWORK_H_
