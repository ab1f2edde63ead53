#ifndef PRIMROSEWEIR_ENTRY_PROBE_RUNNER_H_
#define PRIMROSEWEIR_ENTRY_PROBE_RUNNER_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "primroseweir/routing/upstream_lease.h"

namespace primroseweir {

class ConnectionPool;

// Performs the probes that a ProbeController starts, one at a time in a thread of its own. It takes
// connections from the pool, so that probes stay within the fixed connection share.
class ProbeRunner {
 public:
  // `pool` outlives the runner. `probed` is called after each probe.
  ProbeRunner(ConnectionPool* pool, std::function<void()> probed);
  // Finishes the present probe and gives up the waiting ones.
  ~ProbeRunner();
  ProbeRunner(const ProbeRunner&) = delete;
  ProbeRunner& operator=(const ProbeRunner&) = delete;

  // Queues one probe. Never waits; above kMaxWaiting the lease is given up.
  void Run(UpstreamLease lease);

  // A slow upstream must not collect probes that tell of an old state.
  static constexpr std::size_t kMaxWaiting = 16;
  static constexpr Duration kTimeout = std::chrono::seconds(1);

 private:
  void RunAll();
  CallResult Probe(const UpstreamLease& lease);

  ConnectionPool* const pool_;
  const std::function<void()> probed_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<UpstreamLease> waiting_;
  bool ends_ = false;
  std::thread thread_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_PROBE_RUNNER_H_
