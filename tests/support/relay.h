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

// A TCP proxy for fault injection: forwards connections to a target on threads of the test process
// and stalls or closes them on request.
class Relay {
 public:
  // Listens on `address`. Throws std::runtime_error when it can't be bound.
  Relay(const SocketAddress& address, const SocketAddress& target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // While true, forwards no bytes in either direction but keeps the connections open.
  void SetSilent(bool silent) { silent_ = silent; }
  // When set to true, closes all connections; while true, closes new ones immediately.
  void SetCut(bool cut);

  const SocketAddress& address() const { return listener_.address(); }
  // Number of connections accepted so far.
  std::uint64_t connections() const { return accepted_; }

 private:
  struct ConnectionPair;

  void Accept();
  void Forward(std::shared_ptr<ConnectionPair> pair, bool to_target);

  standins::Listener listener_;
  const SocketAddress target_;
  std::atomic<bool> silent_{false};
  std::atomic<bool> cut_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> accepted_{0};
  std::mutex mutex_;
  std::set<std::shared_ptr<ConnectionPair>> pairs_;
  std::vector<std::thread> forwarding_threads_;
  std::thread accept_thread_;
};

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_RELAY_H_
