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

// Runs the probes that a ProbeController starts, one at a time in its own thread. Probes use
// connections of the pool, so that they count towards the fixed connection share of the instance.
class ProbeRunner {
 public:
  // `pool` outlives the runner. `on_probe_done` is called in the runner's thread after each probe.
  ProbeRunner(ConnectionPool* pool, std::function<void()> on_probe_done);
  // Waits for the probe in progress and cancels the queued ones.
  ~ProbeRunner();
  ProbeRunner(const ProbeRunner&) = delete;
  ProbeRunner& operator=(const ProbeRunner&) = delete;

  // Queues a probe without blocking. If kMaxQueuedProbes are queued already, destroys the lease,
  // which then counts as cancelled.
  void Enqueue(UpstreamLease lease);

  // Bounds the age of queued probes while an upstream is slow, since a late probe reports an old
  // state.
  static constexpr std::size_t kMaxQueuedProbes = 16;
  static constexpr Duration kProbeTimeout = std::chrono::seconds(1);

 private:
  void RunLoop();
  CallResult Probe(const UpstreamLease& lease);

  ConnectionPool* const pool_;
  const std::function<void()> on_probe_done_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<UpstreamLease> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_PROBE_RUNNER_H_
