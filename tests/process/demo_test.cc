#include <signal.h>

#include <filesystem>
#include <sstream>

#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

// Returns the process ids in the comma-separated list after "pids=".
std::vector<pid_t> ParsePids(const std::string& log) {
  const std::size_t at = log.find("pids=") + 5;
  std::istringstream list(log.substr(at, log.find(' ', at) - at));
  std::vector<pid_t> pids;
  for (std::string pid; std::getline(list, pid, ',');) pids.push_back(std::stoi(pid));
  return pids;
}

int CountRunning(const std::vector<pid_t>& pids) {
  int running = 0;
  for (const pid_t pid : pids) running += kill(pid, 0) == 0 ? 1 : 0;
  return running;
}

// Guards against a demo that fails, or that leaves processes running after its end or after Ctrl-C.
TEST_CASE("the demo succeeds and leaves no process running") {
  const bool interrupt = GENERATE(false, true);
  CAPTURE(interrupt);
  const std::string log = Site::Binary("demo-test.log");
  std::filesystem::remove(log);
  ChildProcess demo({Site::Binary("demo/primroseweir-demo")}, log);
  REQUIRE(demo.WaitForLog("step=download_started", seconds(40)));
  const auto pids = ParsePids(demo.Log());
  CHECK(CountRunning(pids) > 40);
  if (interrupt) demo.Signal(SIGINT);
  const auto exit = demo.WaitForExit(seconds(60));
  INFO(demo.Log());
  CHECK(exit == (interrupt ? 128 + SIGINT : 0));
  CHECK(WaitUntil([&] { return CountRunning(pids) == 0; }, seconds(5)));
}

}  // namespace
}  // namespace primroseweir::testing
