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
// Ice board upstreams of DonaueisPlan whose data centre is krems: 20 over three data centres.
constexpr std::size_t kUpstreamsInKrems = 7;

struct CommandResult {
  int exit_code = -1;
  std::string output;
};

// Runs primroseweir-ctl with the admin addresses of all instances.
CommandResult RunCtl(const Site& site, std::vector<std::string> words, bool with_admin = true) {
  setenv("PRIMROSEWEIR_OPERATOR_TOKEN", site.operator_token().c_str(), 1);
  std::vector<std::string> arguments = {Site::Binary("apps/primroseweir-ctl/primroseweir-ctl")};
  arguments.insert(arguments.end(), words.begin(), words.end());
  for (int i = 0; with_admin && i < site.entry_count(); ++i) {
    arguments.push_back("--admin");
    arguments.push_back(site.AdminAddress(i).ToString());
  }
  // The log file of a process is appended to, so that each run needs one of its own.
  static int runs = 0;
  ChildProcess process(arguments, site.folder() + "/ctl-" + std::to_string(++runs) + ".log");
  const auto exit_code = process.WaitForExit(kCommandTimeout);
  return {exit_code.value_or(-1), process.Log()};
}

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Guards against a runbook whose commands do not show what it says.
TEST_CASE("the operator's commands of the runbook show a live site") {
  Site site(DonaueisPlan("operator-commands"));

  const auto status = RunCtl(site, {"status"});
  INFO(status.output);
  CHECK(status.exit_code == 0);
  CHECK(CountOf(status.output, "behind=0") == 3);
  CHECK(CountOf(status.output, "state=serving") == 3);
  CHECK(CountOf(status.output, "out=none") == 3);

  const auto revision = site.DeclareOut({"krems"});
  CHECK(WaitForRevision(site, {0, 1, 2}, revision, kAFewSeconds));
  CHECK(CountOf(RunCtl(site, {"status"}).output, "out=krems") == 3);

  const auto explain = RunCtl(site, {"explain", "ice-board"});
  INFO(explain.output);
  CHECK(explain.exit_code == 0);
  CHECK(CountOf(explain.output, "use=data_centre_out") == 3 * kUpstreamsInKrems);

  const auto timeline = RunCtl(site, {"timeline"});
  CHECK(timeline.exit_code == 0);
  CHECK(CountOf(timeline.output, "event=configuration_in_force") >= 3);
  CHECK(CountOf(timeline.output, "event=entry_started") == 3);
}

// Guards against a rejected text that changes something, or that operators can't see.
TEST_CASE("a rejected text is shown by status and changes nothing") {
  Site site(DonaueisPlan("operator-rejected"));
  site.SetValue("text", "{\"services\": [{\"name\": \"Ice Board\"}]}");
  CHECK(WaitUntil([&] { return CountOf(RunCtl(site, {"status"}).output, "rejected_count=1") >= 1; },
                  kAFewSeconds));
  CHECK(CountOf(RunCtl(site, {"status"}).output, "services=3") == 3);
}

// Guards against an instance that does not answer and is passed over in silence.
TEST_CASE("an instance that does not answer is named") {
  Site site(DonaueisPlan("operator-no-answer"));
  site.entry(2).Kill();
  const auto status = RunCtl(site, {"status"});
  CHECK(status.exit_code == 1);
  CHECK(CountOf(status.output, "result=no-answer") == 1);
}

}  // namespace
}  // namespace primroseweir::testing
