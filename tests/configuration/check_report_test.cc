#include "primroseweir/configuration/check_report.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

namespace primroseweir {
namespace {

constexpr char kFolder[] = "tests/configuration/golden/";

// Tests run in the root of the source tree.
NamedText Read(const std::string& file) {
  std::ifstream in(kFolder + file, std::ios::binary);
  REQUIRE(in.good());
  return {file, std::string(std::istreambuf_iterator<char>(in), {})};
}

std::string Joined(const CheckReport& report) {
  std::string text;
  for (const std::string& line : report.lines) text += line + "\n";
  return text;
}

// Guards against a runbook that breaks because the output of ctl changed unnoticed.
TEST_CASE("check prints the golden lines") {
  CHECK(Joined(CheckValues(Read("accepted.json"), Read("instances.json"))) ==
        Read("check_accepted.txt").text);
  const CheckReport rejected = CheckValues(Read("rejected.json"), std::nullopt);
  CHECK_FALSE(rejected.accepted);
  CHECK(Joined(rejected) == Read("check_rejected.txt").text);
}

TEST_CASE("diff prints the golden lines") {
  CHECK(Joined(DiffTexts(Read("accepted.json"), Read("changed.json"))) ==
        Read("diff_changed.txt").text);
  CHECK(Joined(DiffTexts(Read("accepted.json"), Read("accepted.json"))) ==
        "result=compared changes=0\n");
  CHECK_FALSE(DiffTexts(Read("accepted.json"), Read("rejected.json")).accepted);
}

}  // namespace
}  // namespace primroseweir
