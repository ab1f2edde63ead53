#include <tclap/CmdLine.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "bench/routing/routing_bench.h"

namespace {

using primroseweir::bench::LeaseTime;
using primroseweir::bench::TableCost;

// Number of upstreams and services that the system is designed for.
constexpr std::uint32_t kDesignUpstreams = 8900;
constexpr std::uint32_t kDesignServices = 860;

nlohmann::json RunLeases(std::uint32_t calls) {
  nlohmann::json results = nlohmann::json::array();
  std::printf("%10s %8s %12s %12s\n", "upstreams", "threads", "mean ns", "99th ns");
  for (const std::uint32_t upstreams : {20U, 35U}) {
    for (const std::uint32_t threads : {1U, 4U}) {
      const LeaseTime time = primroseweir::bench::MeasureLeases(upstreams, threads, calls);
      std::printf("%10u %8u %12.0f %12.0f\n", upstreams, threads, time.mean_nanoseconds,
                  time.percentile_99_nanoseconds);
      results.push_back({{"upstreams", upstreams},
                         {"threads", threads},
                         {"mean_ns", time.mean_nanoseconds},
                         {"percentile_99_ns", time.percentile_99_nanoseconds}});
    }
  }
  return results;
}

nlohmann::json RunTables() {
  const TableCost cost = primroseweir::bench::MeasureTables(kDesignUpstreams, kDesignServices);
  std::printf(
      "%u upstreams, %u services: %.0f bytes per upstream, %.0f per service, %.1f MB in total\n",
      kDesignUpstreams, kDesignServices, cost.bytes_per_upstream, cost.bytes_per_service,
      cost.total_megabytes);
  std::printf(
      "apply configuration %.1f ms, set live seats %.1f ms, merge all observations %.1f ms\n",
      cost.apply_milliseconds, cost.live_seats_milliseconds, cost.merge_milliseconds);
  return {{"bytes_per_upstream", cost.bytes_per_upstream},
          {"bytes_per_service", cost.bytes_per_service},
          {"total_megabytes", cost.total_megabytes},
          {"apply_ms", cost.apply_milliseconds},
          {"live_seats_ms", cost.live_seats_milliseconds},
          {"merge_ms", cost.merge_milliseconds}};
}

}  // namespace

// Measures the time per lease, the memory of the routing tables and the time of a refusal. Prints
// tables and writes routing.json into the output folder. Exit codes: 0 done, 1 failed or wrong
// usage.
int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Benchmark of the routing", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint32_t> calls("", "calls", "leases per thread", false, 200'000, "number",
                                         command);
    TCLAP::ValueArg<std::string> output("", "output", "folder for the results", false, ".",
                                        "folder", command);
    command.parse(argc, argv);
    nlohmann::json results;
    results["leases"] = RunLeases(calls.getValue());
    results["tables"] = RunTables();
    const double refusal_nanoseconds = primroseweir::bench::MeasureRefusals(calls.getValue());
    std::printf("refusal of a call whose expected wait exceeds its deadline: %.0f ns\n",
                refusal_nanoseconds);
    results["refusal_ns"] = refusal_nanoseconds;
    std::ofstream file(output.getValue() + "/routing.json");
    file << results.dump(2) << '\n';
    return file.good() ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "step=run reason=\"%s\"\n", error.what());
    return 1;
  }
}
