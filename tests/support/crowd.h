#ifndef PRIMROSEWEIR_TESTS_SUPPORT_CROWD_H_
#define PRIMROSEWEIR_TESTS_SUPPORT_CROWD_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"

namespace primroseweir::testing {

// Opens connections to `address` one after the other and resets each at once, `sequence` times with
// `at_a_time` connections.
void ConnectAndReset(const SocketAddress& address, int sequence, int at_a_time,
                     const std::function<void()>& observe);

// Connections of misbehaving callers to one address. Must be used on one thread. Connections that
// the server refuses or closes stay closed.
class Crowd {
 public:
  // Opens `size` connections without waiting for them. `observe` is called about every 10 ms while
  // the crowd sends.
  Crowd(const SocketAddress& address, int size, std::function<void()> observe);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends `bytes` on each connection in turns of up to `piece_bytes`. Returns when each connection
  // has sent all of it or has been closed, when the server has accepted no byte on any of them for
  // kStallTime, or after kMaxSendTime.
  void Send(const std::string& bytes, std::size_t piece_bytes);
  // Reads at most one byte from each connection.
  void ReadByte();
  // Closes the sending side of each connection.
  void ShutdownWrite();
  // Waits until each connection has received a status line or was closed, for `timeout` at most,
  // and returns how many received `status`.
  int CountResponses(int status, Duration timeout);

 private:
  struct Member {
    int descriptor = -1;
    std::size_t sent_bytes = 0;
  };

  // Sends the next piece; returns how many bytes were accepted. Closes a connection that has
  // failed.
  static std::size_t SendPiece(Member* member, const std::string& bytes, std::size_t piece_bytes);
  static void Close(Member* member);

  std::vector<Member> members_;
  std::function<void()> observe_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_SUPPORT_CROWD_H_
