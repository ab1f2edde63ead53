#include "primroseweir/configuration/check_report.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

namespace primroseweir {
namespace {

constexpr char kGoldenFolder[] = "tests/configuration/golden/";

// Reads a file of the golden folder; tests run in the root of the source tree.
NamedText ReadGoldenFile(const std::string& file) {
  std::ifstream in(kGoldenFolder + file, std::ios::binary);
  REQUIRE(in.good());
  return {file, std::string(std::istreambuf_iterator<char>(in), {})};
}

std::string JoinLines(const CheckReport& report) {
  std::string text;
  for (const std::string& line : report.lines) text += line + "\n";
  return text;
}

// Guards against an unintended change of the output of primroseweir-ctl, which would break
// runbooks.
TEST_CASE("CheckValues output matches the golden files") {
  CHECK(JoinLines(CheckValues(ReadGoldenFile("accepted.json"), ReadGoldenFile("instances.json"))) ==
        ReadGoldenFile("check_accepted.txt").text);
  const CheckReport rejected = CheckValues(ReadGoldenFile("rejected.json"), std::nullopt);
  CHECK_FALSE(rejected.accepted);
  CHECK(JoinLines(rejected) == ReadGoldenFile("check_rejected.txt").text);
}

TEST_CASE("DiffTexts output matches the golden files") {
  CHECK(JoinLines(DiffTexts(ReadGoldenFile("accepted.json"), ReadGoldenFile("changed.json"))) ==
        ReadGoldenFile("diff_changed.txt").text);
  CHECK(JoinLines(DiffTexts(ReadGoldenFile("accepted.json"), ReadGoldenFile("accepted.json"))) ==
        "result=compared changes=0\n");
  CHECK_FALSE(DiffTexts(ReadGoldenFile("accepted.json"), ReadGoldenFile("rejected.json")).accepted);
}

}  // namespace
}  // namespace primroseweir
