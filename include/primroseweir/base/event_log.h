#ifndef PRIMROSEWEIR_BASE_EVENT_LOG_H_
#define PRIMROSEWEIR_BASE_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/event.h"
#include "primroseweir/base/hybrid_clock.h"

namespace primroseweir {

// Writes events as key=value lines through glog to standard error and keeps the newest ones in a
// ring buffer, which the admin port reads. Thread-safe.
class EventLog {
 public:
  using Fields = std::vector<std::pair<std::string, std::string>>;

  // `process` is the value of the field `process` of each event. The ring buffer holds `capacity`
  // events.
  explicit EventLog(std::string process, std::size_t capacity = kDefaultCapacity);

  // Records an event with the current hybrid time.
  void Emit(const std::string& name, Fields fields);

  // Returns the events with a number above `sequence` that are still in the ring buffer, oldest
  // first. Linear in the size of the buffer.
  std::vector<Event> EventsAfter(std::uint64_t sequence) const;

  HybridClock& clock() { return clock_; }
  const std::string& process() const { return process_; }

  static constexpr std::size_t kDefaultCapacity = 8192;

 private:
  const std::string process_;
  const std::size_t capacity_;
  HybridClock clock_;
  mutable std::mutex mutex_;
  std::deque<Event> ring_;
  std::uint64_t next_sequence_ = 1;
};

// Configures glog for key=value lines: standard error only, no prefix, no log files. Call it once,
// in main.
void InitializeLogging(const char* program);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BASE_EVENT_LOG_H_
