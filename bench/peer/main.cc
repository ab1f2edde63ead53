#include <cstdio>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "primroseweir/base/event_log.h"
#include "real_fleet.h"
#include "simulated_fleet.h"

namespace primroseweir {
namespace {

constexpr char kUsage[] =
    "peer_bench [--output FOLDER] [--seed N] [--kind simulated|real] [--members N] [--upstreams "
    "N]\n"
    "Measures the cost of gossip per member and the time until a change reaches all members.\n"
    "Without --members it measures fleets of all sizes, which takes some minutes.\n";

struct Options {
  std::string output;
  std::uint64_t seed = 1;
  std::string kind;
  std::size_t members = 0;
  std::size_t upstreams = 35;
};

bool ParseOptions(int count, char** arguments, Options* options) {
  for (int i = 1; i + 1 < count; i += 2) {
    const std::string name = arguments[i];
    const std::string value = arguments[i + 1];
    if (name == "--output") {
      options->output = value;
    } else if (name == "--seed") {
      options->seed = std::strtoull(value.c_str(), nullptr, 10);
    } else if (name == "--kind") {
      options->kind = value;
    } else if (name == "--members") {
      options->members = std::strtoull(value.c_str(), nullptr, 10);
    } else if (name == "--upstreams") {
      options->upstreams = std::strtoull(value.c_str(), nullptr, 10);
    } else {
      return false;
    }
  }
  return count % 2 == 1;
}

void PrintHeader() {
  std::printf("%-10s %8s %10s %9s %9s %7s %7s %8s %9s %8s %7s %7s\n", "kind", "members",
              "upstreams", "sent_B/s", "recv_B/s", "dgram/s", "cpu_%", "MB/node", "revision",
              "epoch", "wrong", "joined");
}

void PrintRow(const FleetResult& result) {
  std::printf("%-10s %8zu %10zu %9.0f %9.0f %7.1f %7.2f %8.2f %8.2fs %7.2fs %7.1f %6.1fs\n",
              result.kind.c_str(), result.plan.members, result.plan.upstreams,
              result.bytes_sent_per_second, result.bytes_received_per_second,
              result.datagrams_sent_per_second, result.processor_percent, result.megabytes,
              result.revision_seconds, result.epoch_seconds, result.wrong_suspicions,
              result.joined_seconds);
  std::fflush(stdout);
}

nlohmann::json ToJson(const FleetResult& result) {
  return {{"kind", result.kind},
          {"members", result.plan.members},
          {"upstreams", result.plan.upstreams},
          {"seed", result.plan.seed},
          {"bytes_sent_per_second", result.bytes_sent_per_second},
          {"bytes_received_per_second", result.bytes_received_per_second},
          {"datagrams_sent_per_second", result.datagrams_sent_per_second},
          {"processor_percent", result.processor_percent},
          {"megabytes", result.megabytes},
          {"revision_seconds", result.revision_seconds},
          {"epoch_seconds", result.epoch_seconds},
          {"wrong_suspicions", result.wrong_suspicions},
          {"joined_seconds", result.joined_seconds}};
}

struct FleetRun {
  const char* kind;
  std::size_t members;
  std::size_t upstreams;
};

std::vector<FleetRun> SelectRuns(const Options& options) {
  std::vector<FleetRun> runs = {
      {"simulated", 17, 35},  {"simulated", 17, 350},  {"simulated", 17, 8'900},
      {"simulated", 170, 35}, {"simulated", 170, 350}, {"simulated", 170, 8'900},
      {"simulated", 850, 35}, {"simulated", 850, 350}, {"real", 17, 35},
      {"real", 17, 8'900},    {"real", 48, 350}};
  if (options.members != 0) {
    runs = {{"simulated", options.members, options.upstreams},
            {"real", options.members, options.upstreams}};
  }
  std::vector<FleetRun> selected;
  for (const FleetRun& run : runs) {
    if (options.kind.empty() || options.kind == run.kind) selected.push_back(run);
  }
  return selected;
}

int RunAll(const Options& options) {
  nlohmann::json results = nlohmann::json::array();
  std::printf("seed %llu, 1%% of simulated datagrams lost\n",
              static_cast<unsigned long long>(options.seed));  // NOLINT(google-runtime-int)
  PrintHeader();
  for (const FleetRun& run : SelectRuns(options)) {
    const FleetPlan plan{run.members, run.upstreams, options.seed};
    const bool is_real = std::strcmp(run.kind, "real") == 0;
    const FleetResult result = is_real ? MeasureRealFleet(plan) : MeasureSimulatedFleet(plan);
    PrintRow(result);
    results.push_back(ToJson(result));
  }
  if (!options.output.empty()) {
    std::ofstream(options.output + "/peer.json") << results.dump(2) << "\n";
  } else {
    std::printf("%s\n", results.dump().c_str());
  }
  return 0;
}

}  // namespace
}  // namespace primroseweir

int main(int count, char** arguments) {
  primroseweir::InitializeLogging(arguments[0]);
  primroseweir::Options options;
  if (count == 2 && std::strcmp(arguments[1], "--help") == 0) {
    std::fputs(primroseweir::kUsage, stdout);
    return 0;
  }
  if (!primroseweir::ParseOptions(count, arguments, &options)) {
    std::fputs(primroseweir::kUsage, stderr);
    return 2;
  }
  return primroseweir::RunAll(options);
}
