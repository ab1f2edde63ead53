#ifndef PRIMROSEWEIR_GATEWAY_STOP_DETECTOR_H_
#define PRIMROSEWEIR_GATEWAY_STOP_DETECTOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "primroseweir/base/time.h"

namespace primroseweir {

class EventLoop;

// Tells instances that have ended from those that are cut off, by opening a TCP connection to a
// port that an instance listens on for as long as it runs. A refused connection means that the
// machine is in touch and the process has ended; silence means nothing, and neither does a
// connection.
//
// Load pattern: half of hundreds of instances are lost at the same moment, and each of the others
// probes all of them.
class StopDetector {
 public:
  // `on_stopped` is called with the address of each instance that has ended.
  StopDetector(EventLoop* loop, std::uint16_t port,
               std::function<void(const std::string& ip)> on_stopped);
  ~StopDetector();

  // Probes those of the silent instances whose turn it is, and forgets the others.
  void Probe(const std::vector<std::string>& silent, Instant now);

  // A probe without an answer is given up after this time, longer than any round trip.
  static constexpr Duration kTimeout = std::chrono::seconds(1);
  // Time between two probes of an instance, doubled after each without a result.
  static constexpr Duration kFirstInterval = std::chrono::seconds(2);
  static constexpr Duration kMaxInterval = std::chrono::seconds(32);
  // Probes at the same time.
  static constexpr std::size_t kMaxProbes = 16;

 private:
  class Connection;

  struct Peer {
    std::unique_ptr<Connection> connection;
    Instant next_at;
    Duration interval = kFirstInterval;
  };

  EventLoop* const loop_;
  const std::uint16_t port_;
  const std::function<void(const std::string& ip)> on_stopped_;
  std::map<std::string, Peer> peers_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_STOP_DETECTOR_H_
