#ifndef STANDINS_UPSTREAM_LEDGER_H_
#define STANDINS_UPSTREAM_LEDGER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace primroseweir::standins {

// Execution counts of one booking: in total, now running and most at a time.
struct LedgerEntry {
  std::uint32_t executions = 0;
  std::uint32_t running = 0;
  std::uint32_t max_running = 0;
};

// Counts the executions of each booking, so that tests can check that each was executed at most
// once. Thread-safe.
class Ledger {
 public:
  // Records the start of an execution; returns the number of executions including this one.
  std::uint32_t RecordStart(const std::string& booking) {
    const std::lock_guard<std::mutex> lock(mutex_);
    LedgerEntry& entry = entries_[booking];
    ++entry.running;
    if (entry.running > entry.max_running) entry.max_running = entry.running;
    return ++entry.executions;
  }

  void RecordFinish(const std::string& booking) {
    const std::lock_guard<std::mutex> lock(mutex_);
    --entries_[booking].running;
  }

  std::map<std::string, LedgerEntry> Entries() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return entries_;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, LedgerEntry> entries_;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_LEDGER_H_
