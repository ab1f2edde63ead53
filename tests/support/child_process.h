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

// A child process of a test or of the demo. The destructor kills it. The kernel also kills it when
// its parent dies, so it never outlives an aborted test.
class ChildProcess {
 public:
  // Starts `arguments[0]` and appends its standard output and standard error to `log_path`. Must be
  // called on the main thread, because the kernel treats the exit of the thread that forked as the
  // death of the parent. Throws std::logic_error on another thread and std::runtime_error when fork
  // fails.
  ChildProcess(std::vector<std::string> arguments, std::string log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;
  void Pause() const;
  void Continue() const;
  // Sends SIGKILL and waits for the process to exit.
  void Kill();
  // Waits for the process to exit. Returns its exit code, 128 + signal number when a signal killed
  // it, or nothing when it is still running after `timeout`.
  std::optional<int> WaitForExit(Duration timeout);
  bool Running() { return !WaitForExit(Duration::zero()).has_value(); }

  // Waits until the log contains `text`. Returns false when `timeout` passes or the process exits
  // without having logged it.
  bool WaitForLog(const std::string& text, Duration timeout);
  std::string Log() const;

  // Current and peak resident memory; 0 when it can't be read.
  std::uint64_t ResidentBytes() const { return StatusBytes("VmRSS:"); }
  std::uint64_t MaxResidentBytes() const { return StatusBytes("VmHWM:"); }
  pid_t pid() const { return pid_; }

 private:
  std::uint64_t StatusBytes(const std::string& field) const;

  const std::string log_path_;
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

// Polls `condition` every few milliseconds until it returns true. Returns false after `timeout`.
template <typename Condition>
bool WaitUntil(Condition condition, Duration timeout);

// Sleeps for the polling interval of WaitUntil.
void SleepForPollInterval();

template <typename Condition>
bool WaitUntil(Condition condition, Duration timeout) {
  const Instant deadline = MonotonicNow() + timeout;
  while (true) {
    if (condition()) return true;
    if (MonotonicNow() >= deadline) return false;
    SleepForPollInterval();
  }
}

}  // namespace primroseweir::testing

#endif  // TESTS_SUPPORT_CHILD_PROCESS_H_
