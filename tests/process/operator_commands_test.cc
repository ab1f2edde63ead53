#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "process_helpers.h"
#include "support/child_process.h"
#include "support/site.h"

namespace primroseweir::testing {
namespace {

constexpr Duration kCommandTimeout = std::chrono::seconds(10);
// Upstreams of ice-board in krems: DonaueisPlan distributes 20 over three data centres in rotation.
constexpr std::size_t kUpstreamsInKrems = 7;

struct CommandResult {
  int exit_code = -1;
  std::string output;
};

// Runs primroseweir-ctl with `command_arguments` and, if `with_admin`, the admin addresses of all
// instances.
CommandResult RunCtl(const Site& site, std::vector<std::string> command_arguments,
                     bool with_admin = true) {
  setenv("PRIMROSEWEIR_OPERATOR_TOKEN", site.operator_token().c_str(), 1);
  std::vector<std::string> arguments = {Site::Binary("apps/primroseweir-ctl/primroseweir-ctl")};
  arguments.insert(arguments.end(), command_arguments.begin(), command_arguments.end());
  for (int i = 0; with_admin && i < site.entry_count(); ++i) {
    arguments.push_back("--admin");
    arguments.push_back(site.AdminAddress(i).ToString());
  }
  // ChildProcess appends to its log file, so each run needs a file of its own.
  static int run_count = 0;
  ChildProcess process(arguments, site.folder() + "/ctl-" + std::to_string(++run_count) + ".log");
  const auto exit_code = process.WaitForExit(kCommandTimeout);
  return {exit_code.value_or(-1), process.Log()};
}

std::size_t CountOccurrences(const std::string& text, const std::string& pattern) {
  std::size_t count = 0;
  for (std::size_t position = text.find(pattern); position != std::string::npos;
       position = text.find(pattern, position + 1)) {
    ++count;
  }
  return count;
}

// Guards against operator commands whose output differs from what the runbook says.
TEST_CASE("the operator commands of the runbook show the state of a running site") {
  Site site(DonaueisPlan("operator-commands"));

  const auto status = RunCtl(site, {"status"});
  INFO(status.output);
  CHECK(status.exit_code == 0);
  CHECK(CountOccurrences(status.output, "behind=0") == 3);
  CHECK(CountOccurrences(status.output, "state=serving") == 3);
  CHECK(CountOccurrences(status.output, "out=none") == 3);

  const auto revision = site.DeclareOut({"krems"});
  CHECK(WaitForRevision(site, {0, 1, 2}, revision, kMaxReactionTime));
  CHECK(CountOccurrences(RunCtl(site, {"status"}).output, "out=krems") == 3);

  const auto explain = RunCtl(site, {"explain", "ice-board"});
  INFO(explain.output);
  CHECK(explain.exit_code == 0);
  CHECK(CountOccurrences(explain.output, "use=data_centre_out") == 3 * kUpstreamsInKrems);

  const auto timeline = RunCtl(site, {"timeline"});
  CHECK(timeline.exit_code == 0);
  CHECK(CountOccurrences(timeline.output, "event=configuration_in_force") >= 3);
  CHECK(CountOccurrences(timeline.output, "event=entry_started") == 3);
}

// Guards against a rejected text that takes effect, or that is not shown to operators.
TEST_CASE("a rejected text is counted by status and changes nothing") {
  Site site(DonaueisPlan("operator-rejected"));
  site.SetValue("text", "{\"services\": [{\"name\": \"Ice Board\"}]}");
  CHECK(WaitUntil(
      [&] { return CountOccurrences(RunCtl(site, {"status"}).output, "rejected_count=1") >= 1; },
      kMaxReactionTime));
  CHECK(CountOccurrences(RunCtl(site, {"status"}).output, "services=3") == 3);
}

// Guards against a status command that silently omits an instance that does not respond.
TEST_CASE("status reports an instance that does not respond and exits with code 1") {
  Site site(DonaueisPlan("operator-no-answer"));
  site.entry(2).Kill();
  const auto status = RunCtl(site, {"status"});
  CHECK(status.exit_code == 1);
  CHECK(CountOccurrences(status.output, "result=no-answer") == 1);
}

}  // namespace
}  // namespace primroseweir::testing
