#include <tclap/CmdLine.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bench/site/experiments.h"

namespace {

struct NamedExperiment {
  const char* name;
  nlohmann::json (*measure)();
};

constexpr NamedExperiment kExperiments[] = {
    {"added-time", primroseweir::bench::MeasureAddedTime},
    {"overload", primroseweir::bench::MeasureOverload},
    {"data-centre", primroseweir::bench::MeasureDataCentre},
};

}  // namespace

// Runs the experiments on sites of real processes and writes site.json into the output folder. Exit
// codes: 0 done, 1 failed or wrong usage.
int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Benchmarks with real processes", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> selected("", "experiment", "run only this experiment", false, "",
                                          "name", command);
    TCLAP::ValueArg<std::string> output("", "output", "folder for the results", false, ".",
                                        "folder", command);
    command.parse(argc, argv);
    nlohmann::json document = {{"bench", "site"}, {"version", "0.1.0"}};
    for (const NamedExperiment& experiment : kExperiments) {
      if (!selected.getValue().empty() && selected.getValue() != experiment.name) continue;
      std::printf("== %s\n", experiment.name);
      document[experiment.name] = experiment.measure();
    }
    std::ofstream file(output.getValue() + "/site.json");
    file << document.dump(1) << '\n';
    return file.good() ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "step=run reason=\"%s\"\n", error.what());
    return 1;
  }
}
