#ifndef PRIMROSEWEIR_TESTS_SUPPORT_DATAGRAM_CROWD_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_DATAGRAM_CROWD_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <string>
#include <thread>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir::testing {

// Sends datagrams from one address.
class DatagramSender {
 public:
  explicit DatagramSender(const SocketAddress& from)
      : descriptor_(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
    const auto native = Native(from);
    if (bind(descriptor_, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0) {
      close(descriptor_);
      throw std::runtime_error("could not bind the sender's address " + from.ToString());
    }
  }
  ~DatagramSender() { close(descriptor_); }
  DatagramSender(const DatagramSender&) = delete;
  DatagramSender& operator=(const DatagramSender&) = delete;

  // Sends `bytes` once the receiver has taken all earlier datagrams, since the kernel drops what
  // its buffer does not hold. Waits until `deadline` at most, and sends nothing after that.
  void Send(const SocketAddress& to, const std::string& bytes, Instant deadline) const {
    const auto native = Native(to);
    while (HasWaitingDatagrams(native) && MonotonicNow() < deadline) {
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    if (MonotonicNow() < deadline) {
      sendto(descriptor_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&native),
             sizeof native);
    }
  }

  // Longest time of a flood.
  static constexpr Duration kMaxFloodTime = std::chrono::seconds(8);
  static constexpr std::size_t kMaxBytes = 65507;

 private:
  static sockaddr_in Native(const SocketAddress& address) {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
    return native;
  }

  // Whether datagrams wait in the buffer of the socket that is bound to `address`.
  static bool HasWaitingDatagrams(const sockaddr_in& address) {
    char local[32];
    std::snprintf(local, sizeof local, " %08X:%04X ", address.sin_addr.s_addr,
                  unsigned{ntohs(address.sin_port)});
    std::ifstream sockets("/proc/net/udp");
    for (std::string line; std::getline(sockets, line);) {
      if (line.find(local) != std::string::npos) {
        // The columns after the remote address are the state and the queues, "07 TX:RX".
        const auto colon = line.find(':', line.find(" 07 "));
        return colon != std::string::npos && line.compare(colon + 1, 8, "00000000") != 0;
      }
    }
    return false;
  }

  const int descriptor_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_DATAGRAM_CROWD_H_
