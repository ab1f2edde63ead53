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

// State of one stand-in upstream, shared by its connections and its control port. Thread-safe.
class Upstream {
 public:
  explicit Upstream(const UpstreamSettings& settings);

  UpstreamModes modes() const;
  // Sets the modes that the JSON text names. Errors: as ChangeModes.
  absl::Status UpdateModes(const std::string& text);

  // Draws the service time of a call.
  Duration DrawServiceTime();
  // Returns true with the given probability.
  bool DrawBernoulli(double probability);
  // Decrements `cut_count` or `lose_answer_count` of the modes; returns false if it is already 0.
  bool ConsumeCut();
  bool ConsumeLostResponse();

  // Formats all counters as JSON text.
  std::string FormatState() const;
  // Formats the executions by booking as JSON text.
  std::string FormatLedger() const;

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
