#include "primroseweir/configuration/text_parser.h"

#include <catch2/catch.hpp>
#include <string>

#include "primroseweir/configuration/value_limits.h"

namespace primroseweir {
namespace {

std::string FirstVerdict(const std::string& text) {
  const auto checked = ParseText(text);
  return checked.ok() ? "accepted" : FormatValidationError(checked.errors.front());
}

std::string Services(const std::string& inner) { return "{\"services\": [\n" + inner + "\n]}"; }

// Services s1 > s2 > ... > sN, one a line.
std::string Chain(int length) {
  std::string inner;
  for (int i = 1; i <= length; ++i) {
    const std::string next = i < length ? "\"s" + std::to_string(i + 1) + "\"" : "";
    inner += (i > 1 ? ",\n" : "") + std::string("{\"name\": \"s") + std::to_string(i) +
             "\", \"depends_on\": [" + next + "]}";
  }
  return Services(inner);
}

TEST_CASE("the text of the design page is accepted") {
  const auto checked = ParseText(
      R"({"services": [
        {"name": "ice-board", "depends_on": []},
        {"name": "booking-ledger", "depends_on": ["ice-board"], "calls": "not-repeatable"}
      ]})");
  REQUIRE(checked.ok());
  REQUIRE(checked.value.size() == 2);
  CHECK(checked.value[0].name.value() == "ice-board");
  CHECK(checked.value[0].calls == ServiceCalls::kIdempotent);
  CHECK(checked.value[1].depends_on == std::vector<ServiceName>{ServiceName("ice-board")});
  CHECK(checked.value[1].calls == ServiceCalls::kNonIdempotent);
  const auto uploads = ParseText(Services(R"({"name": "a", "calls": "uploads"})"));
  REQUIRE(uploads.ok());
  CHECK(uploads.value[0].calls == ServiceCalls::kUploads);
}

// Guards against operators who can't find the fault: each reason names its line and field.
TEST_CASE("each verdict names line, field, problem and expectation") {
  CHECK(FirstVerdict(Services("{\"name\": \"a\",\n \"colour\": 1}")) ==
        "line=3 field=services[0].colour problem=\"unknown field\" "
        "expected=\"name, depends_on or calls\"");
  CHECK(FirstVerdict(Services("{\"name\": \"a\",\n \"name\": \"b\"}")) ==
        "line=3 field=services[0].name problem=\"duplicate field\" expected=\"each field once\"");
  CHECK(FirstVerdict(Services("{\"name\": \"a\"},\n{\"name\": \"a\"}")) ==
        "line=3 field=services[1].name problem=\"duplicate name \\\"a\\\", first on line 2\" "
        "expected=\"each name once\"");
  CHECK(FirstVerdict(Services("{\"name\": \"a\", \"depends_on\": [\n\"b\"]}")) ==
        "line=3 field=services[0].depends_on[0] problem=\"unknown dependency \\\"b\\\"\" "
        "expected=\"the name of a service in this text\"");
  CHECK(FirstVerdict(Services("{\"name\": \"a\", \"depends_on\": [\"b\"]},\n"
                              "{\"name\": \"b\", \"depends_on\": [\"a\"]}")) ==
        "line=3 field=services[1].depends_on[0] problem=\"cycle a > b > a\" "
        "expected=\"dependencies without a cycle\"");
  CHECK(FirstVerdict(Services("{\"name\": \"a\", \"depends_on\": [\"a\"]}")) ==
        "line=2 field=services[0].depends_on[0] problem=\"cycle a > a\" "
        "expected=\"dependencies without a cycle\"");
  CHECK(FirstVerdict(Services("{\"name\": \"a\", \"depends_on\": [\"b\", \"b\"]},\n"
                              "{\"name\": \"b\"}")) ==
        "line=2 field=services[0].depends_on[1] problem=\"duplicate name \\\"b\\\"\" "
        "expected=\"each dependency once\"");
  CHECK(FirstVerdict(Services("{\"name\": \"Ice Board\"}")) ==
        "line=2 field=services[0].name problem=\"bad name \\\"Ice Board\\\"\" "
        "expected=\"1 to 63 characters of a-z, 0-9 and -\"");
  CHECK(FirstVerdict(Services("{}")) ==
        "line=2 field=services[0] problem=\"field name is missing\" "
        "expected=\"an object with this field\"");
  CHECK(FirstVerdict(Services("{\"name\": \"a\", \"calls\": \"never\"}")) ==
        "line=2 field=services[0].calls problem=\"unknown value \\\"never\\\"\" "
        "expected=\"repeatable, not-repeatable or uploads\"");
  CHECK(FirstVerdict(Services("{\"name\": 7\n}")) ==
        "line=2 field=services[0].name problem=\"the value is a number\" "
        "expected=\"1 to 63 characters of a-z, 0-9 and -\"");
  CHECK(FirstVerdict("{\"services\": [\n]}") ==
        "line=1 field=services problem=\"no service\" expected=\"at least one service\"");
  CHECK(FirstVerdict("{}") ==
        "line=1 field=\"\" problem=\"field services is missing\" "
        "expected=\"an object with this field\"");
  CHECK(FirstVerdict("[1]") ==
        "line=1 field=\"\" problem=\"the value is an array\" expected=\"an object\"");
}

TEST_CASE("bad JSON is named with its line") {
  CHECK(FirstVerdict("{\"services\": [\n{\"name\": \"a\"},\n]}") ==
        "line=3 field=\"\" problem=\"bad JSON: unexpected character \\\"]\\\"\" expected=\"a JSON "
        "value\"");
  CHECK(FirstVerdict("{\"services\":\n") ==
        "line=2 field=\"\" problem=\"bad JSON: unexpected end\" expected=\"a JSON value\"");
  CHECK(FirstVerdict("") ==
        "line=1 field=\"\" problem=\"bad JSON: unexpected end\" expected=\"a JSON value\"");
}

// Guards against calls that nest deeper than the deadlines and budgets are made for.
TEST_CASE("a chain of 8 services is accepted and one of 9 is not") {
  CHECK(FirstVerdict(Chain(8)) == "accepted");
  CHECK(FirstVerdict(Chain(9)) ==
        "line=2 field=services[0].depends_on problem=\"chain of 9 services s1 > s2 > s3 > s4 > s5 "
        "> s6 > s7 > s8 > s9\" expected=\"at most 8 services on a chain\"");
}

// Guards against a stack overflow on a hostile text: the check must not recurse.
TEST_CASE("a chain of ten thousand services is refused") {
  const auto checked = ParseText(Chain(10'000));
  REQUIRE(checked.errors.size() == 1);
  CHECK(checked.errors[0].field == "services[9991].depends_on");
}

TEST_CASE("names have 1 to 63 characters") {
  const std::string longest(kMaxNameLength, 'a');
  CHECK(FirstVerdict(Services("{\"name\": \"" + longest + "\"}")) == "accepted");
  CHECK(FirstVerdict(Services("{\"name\": \"" + longest + "a\"}")) != "accepted");
  CHECK(FirstVerdict(Services("{\"name\": \"\"}")) != "accepted");
}

TEST_CASE("a value above 1 MB is refused") {
  const std::string service = "{\"services\":[{\"name\":\"a\"}]}";
  const std::string exact = service + std::string(kMaxValueBytes - service.size(), ' ');
  CHECK(FirstVerdict(exact) == "accepted");
  CHECK(FirstVerdict(exact + " ") ==
        "line=1 field=\"\" problem=\"the value has 1048577 bytes\" "
        "expected=\"at most 1048576 bytes\"");
}

// Guards against a text of another format that floods the log with one verdict a field.
TEST_CASE("verdicts are bounded and stand in the order of their positions") {
  std::string inner;
  for (int i = 0; i < 500; ++i) {
    inner += (i > 0 ? ",\n" : "") + std::string("{\"name\": \"x\", \"weight\": 1}");
  }
  const auto checked = ParseText(Services(inner));
  REQUIRE(checked.errors.size() == kMaxValidationErrors);
  CHECK(checked.errors[0].field == "services[0].weight");
  CHECK(checked.errors[1].field == "services[1].name");
  for (std::size_t i = 1; i < checked.errors.size(); ++i) {
    CHECK(checked.errors[i - 1].line <= checked.errors[i].line);
  }
}

// Guards against a value that forges keys or lines where verdicts are printed.
TEST_CASE("quoted input is escaped") {
  const std::string line = FirstVerdict(Services("{\"name\": \"a\\n line=9\"}"));
  CHECK(line.find('\n') == std::string::npos);
  CHECK(line.find("\\x0a line=9") != std::string::npos);
}

}  // namespace
}  // namespace primroseweir
