#ifndef TESTS_SUPPORT_RELAY_H_
#define TESTS_SUPPORT_RELAY_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "wire/listener.h"

namespace primroseweir::testing {

// Passes TCP connections on to a target, in threads of the test, and disturbs them on command.
class Relay {
 public:
  // Listens at `address`. Throws std::runtime_error when it can't be bound.
  Relay(const SocketAddress& address, const SocketAddress& target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // While silent, no byte moves in either direction, but connections stay open.
  void SetSilent(bool silent) { silent_ = silent; }
  // Closes all connections; while cut, new ones are closed at once.
  void SetCut(bool cut);

  const SocketAddress& address() const { return listener_.address(); }
  std::uint64_t connections() const { return accepted_; }

 private:
  struct Pair;

  void Accept();
  void Pass(std::shared_ptr<Pair> pair, bool inward);

  standins::Listener listener_;
  const SocketAddress target_;
  std::atomic<bool> silent_{false};
  std::atomic<bool> cut_{false};
  std::atomic<bool> ended_{false};
  std::atomic<std::uint64_t> accepted_{0};
  std::mutex mutex_;
  std::set<std::shared_ptr<Pair>> pairs_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_RELAY_H_
