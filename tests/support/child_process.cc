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

constexpr auto kPollInterval = std::chrono::milliseconds(5);
constexpr int kExecFailedExitCode = 127;
constexpr int kSignalExitBase = 128;

// Runs in the child between fork and exec, where only async-signal-safe functions may be called.
[[noreturn]] void RunChild(char* const* arguments, int log_descriptor, pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have died before prctl set the death signal.
  if (getppid() != parent) _exit(kExecFailedExitCode);
  sigset_t empty_mask;
  sigemptyset(&empty_mask);
  sigprocmask(SIG_SETMASK, &empty_mask, nullptr);
  // A process group of its own keeps Ctrl-C in a terminal from reaching the child: only the test or
  // the demo receives it and then stops its children.
  setpgid(0, 0);
  dup2(log_descriptor, STDOUT_FILENO);
  dup2(log_descriptor, STDERR_FILENO);
  execv(arguments[0], arguments);
  _exit(kExecFailedExitCode);
}

}  // namespace

void SleepForPollInterval() { std::this_thread::sleep_for(kPollInterval); }

ChildProcess::ChildProcess(std::vector<std::string> arguments, std::string log_path)
    : log_path_(std::move(log_path)) {
  if (syscall(SYS_gettid) != getpid()) {
    throw std::logic_error("ChildProcess must be created on the main thread");
  }
  std::vector<char*> argument_pointers;
  for (std::string& argument : arguments) argument_pointers.push_back(argument.data());
  argument_pointers.push_back(nullptr);
  const int log_descriptor =
      open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) RunChild(argument_pointers.data(), log_descriptor, parent);
  close(log_descriptor);
  if (pid_ < 0) throw std::runtime_error("fork failed for " + arguments[0]);
}

ChildProcess::~ChildProcess() { Kill(); }

void ChildProcess::Signal(int signal) const {
  if (!exit_code_.has_value()) kill(pid_, signal);
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
        if (exit_code_.has_value() || waitpid(pid_, &status, WNOHANG) != pid_)
          return exit_code_.has_value();
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitBase + WTERMSIG(status);
        return true;
      },
      timeout);
  return exit_code_;
}

std::string ChildProcess::Log() const {
  std::ifstream file(log_path_);
  return {std::istreambuf_iterator<char>(file), {}};
}

bool ChildProcess::WaitForLog(const std::string& text, Duration timeout) {
  bool found = false;
  WaitUntil(
      [this, &text, &found] {
        const bool has_exited = !Running();
        found = Log().find(text) != std::string::npos;
        return found || has_exited;
      },
      timeout);
  return found;
}

std::uint64_t ChildProcess::StatusBytes(const std::string& field) const {
  constexpr std::uint64_t kKibibyte = 1024;
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string word; file >> word;) {
    std::uint64_t kibibytes = 0;
    if (word == field && file >> kibibytes) return kibibytes * kKibibyte;
  }
  return 0;
}

}  // namespace primroseweir::testing
