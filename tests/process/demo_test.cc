#include <signal.h>

#include <filesystem>
#include <sstream>

#include "process_helpers.h"

namespace primroseweir::testing {
namespace {

std::vector<pid_t> PidsIn(const std::string& log) {
  const std::size_t at = log.find("pids=") + 5;
  std::istringstream list(log.substr(at, log.find(' ', at) - at));
  std::vector<pid_t> pids;
  for (std::string pid; std::getline(list, pid, ',');) pids.push_back(std::stoi(pid));
  return pids;
}

int LiveOf(const std::vector<pid_t>& pids) {
  int live = 0;
  for (const pid_t pid : pids) live += kill(pid, 0) == 0 ? 1 : 0;
  return live;
}

// Guards against a demo that fails, or that leaves processes behind at its end or after Ctrl-C.
TEST_CASE("the demo shows right answers and leaves no process behind") {
  const bool interrupt = GENERATE(false, true);
  CAPTURE(interrupt);
  const std::string log = Site::Binary("demo-test.log");
  std::filesystem::remove(log);
  ChildProcess demo({Site::Binary("demo/primroseweir-demo")}, log);
  REQUIRE(demo.WaitForLog("step=download_started", seconds(40)));
  const auto pids = PidsIn(demo.Log());
  CHECK(LiveOf(pids) > 40);
  if (interrupt) demo.Signal(SIGINT);
  const auto exit = demo.WaitForExit(seconds(60));
  INFO(demo.Log());
  CHECK(exit == (interrupt ? 128 + SIGINT : 0));
  CHECK(WaitUntil([&] { return LiveOf(pids) == 0; }, seconds(5)));
}

}  // namespace
}  // namespace primroseweir::testing
