#include "support/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace primroseweir::testing {
namespace {

constexpr auto kCheckPeriod = std::chrono::milliseconds(5);
constexpr int kExecFailed = 127;
constexpr int kSignalExitBase = 128;

// Runs in the child between fork and exec, where only simple system calls are allowed.
[[noreturn]] void RunChild(char* const* arguments, int log, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have died before the call above.
  if (getppid() != parent) _exit(kExecFailed);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  // Ctrl-C in a terminal reaches only the test or the demo, which then stops its processes.
  setpgid(0, 0);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execv(arguments[0], arguments);
  _exit(kExecFailed);
}

}  // namespace

void PauseBetweenChecks() { std::this_thread::sleep_for(kCheckPeriod); }

ChildProcess::ChildProcess(std::vector<std::string> arguments, std::string log_path)
    : log_path_(std::move(log_path)) {
  if (syscall(SYS_gettid) != getpid()) {
    throw std::logic_error("processes are started from the main thread only");
  }
  std::vector<char*> pointers;
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) RunChild(pointers.data(), log, parent);
  close(log);
  if (pid_ < 0) throw std::runtime_error("fork failed for " + arguments[0]);
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Signal(int signal) const {
  if (!exit_.has_value()) kill(pid_, signal);
}

void ChildProcess::Pause() const { Signal(SIGSTOP); }
void ChildProcess::Continue() const { Signal(SIGCONT); }

void ChildProcess::Kill() {
  Signal(SIGKILL);
  WaitForExit(std::chrono::seconds(10));
}

std::optional<int> ChildProcess::WaitForExit(Duration timeout) {
  WaitUntil(
      [this] {
        int status = 0;
        if (exit_.has_value() || waitpid(pid_, &status, WNOHANG) != pid_) return exit_.has_value();
        exit_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitBase + WTERMSIG(status);
        return true;
      },
      timeout);
  return exit_;
}

std::string ChildProcess::Log() const {
  std::ifstream file(log_path_);
  return {std::istreambuf_iterator<char>(file), {}};
}

bool ChildProcess::WaitForLog(const std::string& text, Duration timeout) {
  bool found = false;
  WaitUntil(
      [this, &text, &found] {
        const bool ended = !Running();
        found = Log().find(text) != std::string::npos;
        return found || ended;
      },
      timeout);
  return found;
}

std::uint64_t ChildProcess::StatusBytes(const std::string& field) const {
  constexpr std::uint64_t kKilobyte = 1024;
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string word; file >> word;) {
    std::uint64_t kilobytes = 0;
    if (word == field && file >> kilobytes) return kilobytes * kKilobyte;
  }
  return 0;
}

}  // namespace primroseweir::testing
