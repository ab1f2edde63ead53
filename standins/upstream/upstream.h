#ifndef STANDINS_UPSTREAM_UPSTREAM_H_
#define STANDINS_UPSTREAM_UPSTREAM_H_

#include <absl/status/status.h>

#include <atomic>
#include <mutex>
#include <string>

#include "primroseweir/base/event_log.h"
#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"
#include "upstream/connection_table.h"
#include "upstream/execution_slots.h"
#include "upstream/ledger.h"
#include "upstream/modes.h"
#include "upstream/settings.h"

namespace primroseweir::standins {

// State that the connections and the test-only port of one stand-in upstream share. Safe for
// several threads.
class Upstream {
 public:
  explicit Upstream(const UpstreamSettings& settings);

  UpstreamModes modes() const;
  // Errors: as the free function ChangeModes.
  absl::Status Change(const std::string& text);

  // Time that the next call takes.
  Duration DrawServiceTime();
  // True with that probability.
  bool Draw(double probability);
  // True while the mode's count is above 0; takes one off it.
  bool ConsumeCut();
  bool ConsumeLostResponse();

  // All counters as JSON text.
  std::string StateText() const;
  // Executions by booking as JSON text.
  std::string LedgerText() const;

  const UpstreamSettings& settings() const { return settings_; }
  ExecutionSlots& slots() { return slots_; }
  Ledger& ledger() { return ledger_; }
  ConnectionTable& connections() { return connections_; }
  EventLog& events() { return events_; }
  void CountProbe() { ++probes_; }

 private:
  const UpstreamSettings settings_;
  EventLog events_;
  ExecutionSlots slots_;
  Ledger ledger_;
  ConnectionTable connections_;
  std::atomic<std::uint64_t> probes_{0};
  mutable std::mutex mutex_;
  UpstreamModes modes_;
  Random random_;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_UPSTREAM_H_
