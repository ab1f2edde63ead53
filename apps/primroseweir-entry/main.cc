// Runs an entry instance: serves address requests, forwards calls, probes upstreams and exchanges
// state with its peers. Exit codes: 0 after a graceful stop; 1 if the start failed or a second
// SIGTERM or SIGINT arrived; 2 for wrong usage or settings.
#include <malloc.h>
#include <pthread.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <thread>

#include "primroseweir/base/error.h"
#include "primroseweir/base/event_log.h"
#include "primroseweir/entry/entry_instance.h"
#include "primroseweir/entry/entry_settings.h"
#include "primroseweir/filters/address_filter.h"

namespace primroseweir {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
// With one malloc arena per core, hundreds of threads would retain much freed memory.
constexpr int kMallocArenas = 2;

absl::StatusOr<EntrySettings> ReadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeError(absl::StatusCode::kNotFound, {"settings", ""}, path + " can't be read");
  }
  return ParseEntrySettings({std::istreambuf_iterator<char>(file), {}});
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

int Serve(const EntrySettings& settings) {
  EntryInstance instance(settings);
  const auto status = instance.Start();
  if (!status.ok()) {
    std::cerr << "start: " << MessageOf(status) << "\n";
    return kExitFailure;
  }
  WaitForStopSignal();
  // A second signal ends the process at once, also with calls in flight.
  std::thread([] {
    WaitForStopSignal();
    _exit(kExitFailure);
  }).detach();
  instance.Stop(AddressFilter::kValidity);
  return kExitSuccess;
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine command("Entry instance of primroseweir", ' ', "0.1.0");
  command.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> path("s", "settings", "settings file (JSON)", true, "", "FILE",
                                    command);
  try {
    command.parse(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "usage: " << error.error() << " " << error.argId() << "\n";
    return kExitUsage;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
  const auto settings = ReadSettings(path.getValue());
  if (!settings.ok()) {
    std::cerr << MessageOf(settings.status()) << "\n";
    return kExitUsage;
  }
  return Serve(*settings);
}

}  // namespace
}  // namespace primroseweir

int main(int argc, char** argv) {
  mallopt(M_ARENA_MAX, primroseweir::kMallocArenas);
  const sigset_t signals = primroseweir::StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  primroseweir::InitializeLogging(argv[0]);
  return primroseweir::Run(argc, argv);
}
