// Stand-in upstream for tests and the demo. request_handler.h and control_port.h list the requests
// that it serves, settings.h its settings.
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

#include "primroseweir/base/error.h"
#include "upstream/control_port.h"
#include "upstream/request_handler.h"
#include "wire/listener.h"

namespace primroseweir::standins {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

absl::StatusOr<UpstreamSettings> ReadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeError(absl::StatusCode::kNotFound, {"read settings", ""}, path + " can't be read");
  }
  return ParseUpstreamSettings({std::istreambuf_iterator<char>(file), {}});
}

void ServeConnection(Upstream* upstream, const std::shared_ptr<Connection>& connection) {
  if (!upstream->connections().Add(connection)) return;
  RequestHandler(upstream, connection).Run();
  upstream->connections().Remove(connection);
}

void AcceptCalls(Upstream* upstream, Listener* listener) {
  while (true) {
    auto socket = listener->Accept();
    if (!socket.ok()) return;
    auto connection = std::make_shared<Connection>(*std::move(socket));
    std::thread(ServeConnection, upstream, std::move(connection)).detach();
  }
}

void AcceptControl(Upstream* upstream, Listener* listener) {
  while (true) {
    auto socket = listener->Accept();
    if (!socket.ok()) return;
    std::thread(ServeControl, upstream, *std::move(socket)).detach();
  }
}

void WaitForSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

void BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int Run(const std::string& path) {
  const auto settings = ReadSettings(path);
  if (!settings.ok()) {
    std::cerr << "step=\"read settings\" error=\"" << MessageOf(settings.status()) << "\"\n";
    return kExitUsage;
  }
  auto calls = Listener::Open(settings->address);
  auto control = Listener::Open(settings->control_address);
  if (!calls.ok() || !control.ok()) {
    const auto& status = calls.ok() ? control.status() : calls.status();
    std::cerr << "step=bind error=\"" << MessageOf(status) << "\"\n";
    return kExitFailure;
  }
  BlockSignals();
  Upstream upstream(*settings);
  std::thread(AcceptCalls, &upstream, &*calls).detach();
  std::thread(AcceptControl, &upstream, &*control).detach();
  upstream.events().Emit("listening", {{"address", calls->address().ToString()},
                                       {"control", control->address().ToString()}});
  WaitForSignal();
  upstream.events().Emit("stopped", {});
  // Exits without destructors, since the connection threads still use the objects above.
  _exit(0);
}

}  // namespace
}  // namespace primroseweir::standins

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Stand-in upstream for tests", ' ', "0.1.0");
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings("s", "settings", "settings file (JSON)", true, "", "FILE",
                                          command);
    command.parse(argc, argv);
    primroseweir::InitializeLogging(argv[0]);
    return primroseweir::standins::Run(settings.getValue());
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "error: " << error.error() << " " << error.argId() << "\n";
    return primroseweir::standins::kExitUsage;
  }
}
