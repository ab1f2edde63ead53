// Load generator that checks every response. Prints one key=value line per kind of call and then
// one line of JSON. Exit codes: 0, every call got a correct response; 1, some did not; 2, wrong
// usage.
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <sstream>

#include "caller/load.h"
#include "primroseweir/base/error.h"

namespace primroseweir::standins {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

std::atomic<bool> stop_requested{false};

void RequestStop(int /*signal*/) { stop_requested = true; }

std::vector<SocketAddress> ParseAddresses(const std::string& text) {
  std::vector<SocketAddress> addresses;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    const auto address = ParseSocketAddress(item);
    if (!address.ok()) throw TCLAP::CmdLineParseException(MessageOf(address.status()), "addresses");
    addresses.push_back(*address);
  }
  return addresses;
}

template <typename T>
using Argument = TCLAP::ValueArg<T>;

LoadPlan ParsePlan(int argc, char** argv) {
  TCLAP::CmdLine command("Load generator that checks every response", ' ', "0.1.0");
  command.setExceptionHandling(false);
  LoadPlan plan;
  Argument<std::string> addresses("a", "addresses", "addresses to query first, separated by commas",
                                  true, "", "IP:PORT,...", command);
  Argument<std::string> name("", "name", "prefix of booking ids", false, plan.name, "NAME",
                             command);
  Argument<std::string> reads("", "reads", "service that receives the reads", false, "ice-board",
                              "SERVICE", command);
  Argument<std::string> bookings("", "bookings", "service that receives the bookings", false,
                                 "booking-ledger", "SERVICE", command);
  Argument<std::string> downloads("", "downloads", "service that receives the downloads", false,
                                  "chart-distribution", "SERVICE", command);
  Argument<double> booking_share("", "booking-share", "fraction of calls that are bookings", false,
                                 0, "0..1", command);
  Argument<double> download_share("", "download-share", "fraction of calls that are downloads",
                                  false, 0, "0..1", command);
  Argument<std::uint64_t> bytes("", "download-bytes", "size of each download", false,
                                plan.download_bytes, "BYTES", command);
  Argument<std::uint64_t> download_rate("", "download-rate",
                                        "bytes per second of each download, 0: no limit", false, 0,
                                        "BYTES", command);
  Argument<double> rate("r", "rate", "calls per second, 0: send the next call when one ends", false,
                        plan.rate, "N", command);
  Argument<int> concurrency("c", "concurrency", "maximum calls in flight", false, plan.concurrency,
                            "N", command);
  Argument<int> duration("d", "duration-ms", "time during which new calls start", false, 5000, "MS",
                         command);
  Argument<std::uint64_t> seed("s", "seed", "seed of the random number generator", false, plan.seed,
                               "N", command);
  command.parse(argc, argv);
  plan.addresses = ParseAddresses(addresses.getValue());
  plan.name = name.getValue();
  plan.read_service = reads.getValue();
  plan.booking_service = bookings.getValue();
  plan.download_service = downloads.getValue();
  plan.booking_share = booking_share.getValue();
  plan.download_share = download_share.getValue();
  plan.download_bytes = bytes.getValue();
  plan.download_rate = download_rate.getValue();
  plan.rate = rate.getValue();
  plan.concurrency = concurrency.getValue();
  plan.duration = std::chrono::milliseconds(duration.getValue());
  plan.seed = seed.getValue();
  return plan;
}

int Run(const LoadPlan& plan) {
  std::signal(SIGTERM, RequestStop);
  std::signal(SIGINT, RequestStop);
  const LoadResult result = RunLoad(plan, stop_requested);
  std::uint64_t failed = 0;
  for (const auto& [kind, kind_result] : result) {
    std::cout << FormatKind(kind, kind_result) << "\n";
    failed += kind_result.Count() - kind_result.Of(Outcome::kCorrect);
    for (const std::string& failure : kind_result.failures) {
      std::cerr << "kind=" << kind << " failure=\"" << failure << "\"\n";
    }
  }
  std::cout << FormatJson(result) << "\n";
  return failed == 0 ? 0 : kExitFailure;
}

}  // namespace
}  // namespace primroseweir::standins

int main(int argc, char** argv) {
  try {
    return primroseweir::standins::Run(primroseweir::standins::ParsePlan(argc, argv));
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "error: " << error.error() << " " << error.argId() << "\n";
    return primroseweir::standins::kExitUsage;
  }
}
