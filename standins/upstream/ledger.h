#ifndef STANDINS_UPSTREAM_LEDGER_H_
#define STANDINS_UPSTREAM_LEDGER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace primroseweir::standins {

// Executions of one booking.
struct LedgerEntry {
  std::uint32_t executions = 0;
  std::uint32_t running = 0;
  std::uint32_t max_running = 0;
};

// Counts how often each booking ran, to prove that it ran at most once. Safe for several threads.
class Ledger {
 public:
  // Number of executions of the booking, this one included.
  std::uint32_t Start(const std::string& booking) {
    const std::lock_guard<std::mutex> lock(mutex_);
    LedgerEntry& entry = entries_[booking];
    ++entry.running;
    if (entry.running > entry.max_running) entry.max_running = entry.running;
    return ++entry.executions;
  }

  void Finish(const std::string& booking) {
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
