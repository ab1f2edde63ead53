#include <tclap/CmdLine.h>

#include <cstdio>
#include <exception>
#include <string>

#include "bench/choice/comparison.h"
#include "bench/choice/scenarios.h"

// Compares the load balancing policies with each other and with the oracle. Prints a table and
// writes a JSON result and data for gnuplot into the output folder. Exit codes: 0 done, 1 failed or
// wrong usage.
int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Benchmark of the load balancing policies", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the first run; each repeat adds 1",
                                        false, 1, "number", command);
    TCLAP::ValueArg<std::uint32_t> repeats("", "repeats", "runs of each policy in each scenario",
                                           false, 3, "number", command);
    TCLAP::ValueArg<std::string> output("", "output", "folder for the results", false, ".",
                                        "folder", command);
    command.parse(argc, argv);
    const auto comparison = primroseweir::bench::Compare(primroseweir::bench::AllScenarios(),
                                                         seed.getValue(), repeats.getValue());
    comparison.PrintTable();
    return comparison.WriteFiles(output.getValue()) ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "step=run reason=\"%s\"\n", error.what());
    return 1;
  }
}
