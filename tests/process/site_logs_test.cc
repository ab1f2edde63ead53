#include <catch2/catch.hpp>
#include <filesystem>
#include <string>

#include "process_helpers.h"
#include "support/child_process.h"
#include "support/site.h"

namespace primroseweir::testing {
namespace {

constexpr char kLogsPrefix[] = "logs=";

SitePlan OneInstancePlan(const std::string& name) {
  SitePlan plan = SmallPlan(name);
  plan.data_centres = {"krems"};
  for (ServicePlan& service : plan.services) service.upstreams = 1;
  return plan;
}

// Hidden: run by the test below in a process of its own.
TEST_CASE("a site whose test fails by a check", "[.failing-check]") {
  const Site site(OneInstancePlan("failing-check"));
  CHECK(site.entry_count() == 0);
}

// Guards against logs that are removed when only a CHECK of the test failed, as those of the rare
// failures of the downloads were.
TEST_CASE("a site keeps its logs when a check of its test failed") {
  const Site site(OneInstancePlan("kept-logs"));
  ChildProcess process({Site::Binary("process_test"), "[.failing-check]"},
                       site.folder() + "/failing.log");
  CHECK(process.WaitForExit(seconds(30)) == 1);
  const std::string output = process.Log();
  INFO(output);
  const auto start = output.find(kLogsPrefix);
  REQUIRE(start != std::string::npos);
  const auto path_start = start + std::string(kLogsPrefix).size();
  const std::string folder = output.substr(path_start, output.find('\n', start) - path_start);
  CHECK(std::filesystem::exists(folder + "/entry-1.json.log"));
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace primroseweir::testing
