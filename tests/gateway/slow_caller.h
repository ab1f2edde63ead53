#ifndef PRIMROSEWEIR_TESTS_GATEWAY_SLOW_CALLER_H_
#define PRIMROSEWEIR_TESTS_GATEWAY_SLOW_CALLER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <cstddef>
#include <string>

#include "primroseweir/base/socket_address.h"

namespace primroseweir::testing {

// A caller that sends one request and reads its response only when it is told to. Its receive
// buffer is small, so that the kernel does not read ahead.
class SlowCaller {
 public:
  SlowCaller(const SocketAddress& address, const std::string& request)
      : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int buffer_bytes = 32 * 1024;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    REQUIRE(connect(socket_, reinterpret_cast<sockaddr*>(&target), sizeof target) == 0);
    REQUIRE(send(socket_, request.data(), request.size(), 0) ==
            static_cast<ssize_t>(request.size()));
  }
  ~SlowCaller() { close(socket_); }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;

  // Reads up to `size` bytes if there are any. Returns false at the end of the connection.
  bool Read(std::size_t size) {
    buffer_.resize(size);
    const auto count = recv(socket_, buffer_.data(), size, MSG_DONTWAIT);
    received_ += count > 0 ? static_cast<std::size_t>(count) : 0;
    return count > 0 || (count < 0 && errno == EAGAIN);
  }
  std::size_t received() const { return received_; }

 private:
  const int socket_;
  std::string buffer_;
  std::size_t received_ = 0;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_GATEWAY_SLOW_CALLER_H_
