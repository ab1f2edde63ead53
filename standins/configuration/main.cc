#include <signal.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "configuration_service.h"
#include "primroseweir/base/error.h"

namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

struct Options {
  std::vector<std::string> addresses;
  std::string control;
  std::vector<std::string> values;
};

// Stores the initial values; each of `values` has the form KEY=FILE. Returns false if a file can't
// be read.
bool LoadValues(const std::vector<std::string>& values, primroseweir::standin::ValueStore* store) {
  for (const std::string& argument : values) {
    const std::size_t separator = argument.find('=');
    std::ifstream file(separator == std::string::npos ? "" : argument.substr(separator + 1));
    if (!file) {
      std::cerr << "event=bad_value value=\"" << argument << "\" expected=KEY=FILE\n";
      return false;
    }
    std::ostringstream text;
    text << file.rdbuf();
    store->Set(argument.substr(0, separator), text.str());
  }
  return true;
}

int ReportBadAddress(const absl::Status& status) {
  std::cerr << "event=bad_address error=\"" << primroseweir::MessageOf(status) << "\"\n";
  return kExitUsage;
}

int Serve(const Options& options) {
  std::vector<primroseweir::SocketAddress> addresses;
  for (const std::string& text : options.addresses) {
    const auto address = primroseweir::ParseSocketAddress(text);
    if (!address.ok()) return ReportBadAddress(address.status());
    addresses.push_back(*address);
  }
  const auto control = primroseweir::ParseSocketAddress(options.control);
  if (!control.ok()) return ReportBadAddress(control.status());
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  primroseweir::standin::ConfigurationService service;
  if (!LoadValues(options.values, &service.values())) return kExitUsage;
  const absl::Status started = service.Start(addresses, *control);
  if (!started.ok()) {
    std::cerr << "event=start_failed error=\"" << primroseweir::MessageOf(started) << "\"\n";
    return kExitFailure;
  }
  std::cout << "ready";
  for (const auto& address : service.read_addresses()) {
    std::cout << " address=" << address.ToString();
  }
  std::cout << " control=" << service.control_address().ToString() << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  return kExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command(
        "Stand-in configuration service for tests. Exit codes: 0 done, 1 failed to start, 2 wrong "
        "usage.",
        ' ', "0.1.0");
    command.setExceptionHandling(false);
    TCLAP::MultiArg<std::string> addresses(
        "", "address", "read port; repeat it to simulate replicas of the service", true, "IP:PORT",
        command);
    TCLAP::ValueArg<std::string> control(
        "", "control",
        "control port: POST /v1/values/KEY with the value as "
        "body, /freeze?who=READER_IP or READ_ADDRESS (absent: all), "
        "/thaw?who=..., /down, /up, /counts",
        false, "127.0.0.1:0", "IP:PORT", command);
    TCLAP::MultiArg<std::string> values("", "value", "initial value of a key", false, "KEY=FILE",
                                        command);
    command.parse(argc, argv);
    return Serve({addresses.getValue(), control.getValue(), values.getValue()});
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "event=usage error=\"" << error.error() << " " << error.argId() << "\"\n";
    return kExitUsage;
  }
}
