#ifndef TESTS_SUPPORT_CHILD_PROCESS_H_
#define TESTS_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "primroseweir/base/time.h"

namespace primroseweir::testing {

// A process that a test or the demo started. It ends with the object, and also when the test ends
// in any other way, since the kernel kills it when its parent dies.
class ChildProcess {
 public:
  // Runs `arguments[0]`; both outputs go to the file `log_path`. Must be called from the main
  // thread: the kernel takes the end of the starting thread for the parent's death.
  ChildProcess(std::vector<std::string> arguments, std::string log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;
  void Pause() const;
  void Continue() const;
  // Kills and waits for the end.
  void Kill();
  // Waits for the end. The exit code, 128 + signal for a killed process, nothing when it still runs
  // after `timeout`.
  std::optional<int> WaitForExit(Duration timeout);
  bool Running() { return !WaitForExit(Duration::zero()).has_value(); }

  // True once the log contains `text`; false after `timeout` or when the process ended without it.
  bool WaitForLog(const std::string& text, Duration timeout);
  std::string Log() const;

  // Memory in use now, and the most so far.
  std::uint64_t ResidentBytes() const { return StatusBytes("VmRSS:"); }
  std::uint64_t MaxResidentBytes() const { return StatusBytes("VmHWM:"); }
  pid_t pid() const { return pid_; }

 private:
  std::uint64_t StatusBytes(const std::string& field) const;

  const std::string log_path_;
  pid_t pid_ = -1;
  std::optional<int> exit_;
};

// Calls `condition` every few milliseconds until it answers true; false after `timeout`.
template <typename Condition>
bool WaitUntil(Condition condition, Duration timeout);

// Waits a few milliseconds between two looks at a condition.
void PauseBetweenChecks();

template <typename Condition>
bool WaitUntil(Condition condition, Duration timeout) {
  const Instant end = MonotonicNow() + timeout;
  while (true) {
    if (condition()) return true;
    if (MonotonicNow() >= end) return false;
    PauseBetweenChecks();
  }
}

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_CHILD_PROCESS_H_
