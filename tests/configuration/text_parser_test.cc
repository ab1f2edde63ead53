#include "primroseweir/configuration/text_parser.h"

#include <catch2/catch.hpp>
#include <string>

#include "primroseweir/configuration/value_limits.h"

namespace primroseweir {
namespace {

std::string FirstError(const std::string& text) {
  const auto validated = ParseText(text);
  return validated.ok() ? "accepted" : FormatValidationError(validated.errors.front());
}

std::string ServicesText(const std::string& entries) {
  return "{\"services\": [\n" + entries + "\n]}";
}

// Returns a text with the chain s1 > s2 > ... > sN, one service per line.
std::string ChainText(int length) {
  std::string entries;
  for (int i = 1; i <= length; ++i) {
    const std::string next = i < length ? "\"s" + std::to_string(i + 1) + "\"" : "";
    entries += (i > 1 ? ",\n" : "") + std::string("{\"name\": \"s") + std::to_string(i) +
               "\", \"depends_on\": [" + next + "]}";
  }
  return ServicesText(entries);
}

TEST_CASE("a text with dependencies and with default or explicit calls is accepted") {
  const auto validated = ParseText(
      R"({"services": [
        {"name": "ice-board", "depends_on": []},
        {"name": "booking-ledger", "depends_on": ["ice-board"], "calls": "not-repeatable"}
      ]})");
  REQUIRE(validated.ok());
  REQUIRE(validated.value.services.size() == 2);
  CHECK(validated.value.services[0].name.value() == "ice-board");
  CHECK(validated.value.services[0].call_kind == ServiceCallKind::kIdempotent);
  CHECK(validated.value.services[1].depends_on ==
        std::vector<ServiceName>{ServiceName("ice-board")});
  CHECK(validated.value.services[1].call_kind == ServiceCallKind::kNonIdempotent);
  const auto uploads = ParseText(ServicesText(R"({"name": "a", "calls": "uploads"})"));
  REQUIRE(uploads.ok());
  CHECK(uploads.value.services[0].call_kind == ServiceCallKind::kUploads);
}

// Guards against errors without the line and field that operators need to find the fault.
TEST_CASE("errors give the line, the field, the problem and what is expected") {
  CHECK(FirstError(ServicesText("{\"name\": \"a\",\n \"colour\": 1}")) ==
        "line=3 field=services[0].colour problem=\"unknown field\" "
        "expected=\"name, depends_on, calls or public\"");
  CHECK(FirstError(ServicesText("{\"name\": \"a\",\n \"name\": \"b\"}")) ==
        "line=3 field=services[0].name problem=\"duplicate field\" expected=\"each field once\"");
  CHECK(FirstError(ServicesText("{\"name\": \"a\"},\n{\"name\": \"a\"}")) ==
        "line=3 field=services[1].name problem=\"duplicate name \\\"a\\\", first on line 2\" "
        "expected=\"each name once\"");
  CHECK(FirstError(ServicesText("{\"name\": \"a\", \"depends_on\": [\n\"b\"]}")) ==
        "line=3 field=services[0].depends_on[0] problem=\"unknown dependency \\\"b\\\"\" "
        "expected=\"the name of a service in this text\"");
  CHECK(FirstError(ServicesText("{\"name\": \"a\", \"depends_on\": [\"b\"]},\n"
                                "{\"name\": \"b\", \"depends_on\": [\"a\"]}")) ==
        "line=3 field=services[1].depends_on[0] problem=\"cycle a > b > a\" "
        "expected=\"dependencies without a cycle\"");
  CHECK(FirstError(ServicesText("{\"name\": \"a\", \"depends_on\": [\"a\"]}")) ==
        "line=2 field=services[0].depends_on[0] problem=\"cycle a > a\" "
        "expected=\"dependencies without a cycle\"");
  CHECK(FirstError(ServicesText("{\"name\": \"a\", \"depends_on\": [\"b\", \"b\"]},\n"
                                "{\"name\": \"b\"}")) ==
        "line=2 field=services[0].depends_on[1] problem=\"duplicate name \\\"b\\\"\" "
        "expected=\"each dependency once\"");
  CHECK(FirstError(ServicesText("{\"name\": \"Ice Board\"}")) ==
        "line=2 field=services[0].name problem=\"bad name \\\"Ice Board\\\"\" "
        "expected=\"1 to 63 characters of a-z, 0-9 and -\"");
  CHECK(FirstError(ServicesText("{}")) ==
        "line=2 field=services[0] problem=\"field name is missing\" "
        "expected=\"an object with this field\"");
  CHECK(FirstError(ServicesText("{\"name\": \"a\", \"calls\": \"never\"}")) ==
        "line=2 field=services[0].calls problem=\"unknown value \\\"never\\\"\" "
        "expected=\"repeatable, not-repeatable or uploads\"");
  CHECK(FirstError(ServicesText("{\"name\": 7\n}")) ==
        "line=2 field=services[0].name problem=\"the value is a number\" "
        "expected=\"1 to 63 characters of a-z, 0-9 and -\"");
  CHECK(FirstError("{\"services\": [\n]}") ==
        "line=1 field=services problem=\"no service\" expected=\"at least one service\"");
  CHECK(FirstError("{}") ==
        "line=1 field=\"\" problem=\"field services is missing\" "
        "expected=\"an object with this field\"");
  CHECK(FirstError("[1]") ==
        "line=1 field=\"\" problem=\"the value is an array\" expected=\"an object\"");
}

TEST_CASE("JSON syntax errors are reported with their line") {
  CHECK(FirstError("{\"services\": [\n{\"name\": \"a\"},\n]}") ==
        "line=3 field=\"\" problem=\"bad JSON: unexpected character \\\"]\\\"\" expected=\"a JSON "
        "value\"");
  CHECK(FirstError("{\"services\":\n") ==
        "line=2 field=\"\" problem=\"bad JSON: unexpected end\" expected=\"a JSON value\"");
  CHECK(FirstError("") ==
        "line=1 field=\"\" problem=\"bad JSON: unexpected end\" expected=\"a JSON value\"");
}

// Guards against calls nested more deeply than deadlines and budgets are designed for.
TEST_CASE("a chain of 8 services is accepted and one of 9 is not") {
  CHECK(FirstError(ChainText(8)) == "accepted");
  CHECK(FirstError(ChainText(9)) ==
        "line=2 field=services[0].depends_on problem=\"chain of 9 services s1 > s2 > s3 > s4 > s5 "
        "> s6 > s7 > s8 > s9\" expected=\"at most 8 services on a chain\"");
}

// Guards against a stack overflow on a hostile text: the validation must not recurse.
TEST_CASE("a chain of 10,000 services is rejected with one error") {
  const auto validated = ParseText(ChainText(10'000));
  REQUIRE(validated.errors.size() == 1);
  CHECK(validated.errors[0].field == "services[9991].depends_on");
}

TEST_CASE("names of services with 1 to 63 characters are accepted, others rejected") {
  const std::string longest(kMaxNameLength, 'a');
  CHECK(FirstError(ServicesText("{\"name\": \"" + longest + "\"}")) == "accepted");
  CHECK(FirstError(ServicesText("{\"name\": \"" + longest + "a\"}")) != "accepted");
  CHECK(FirstError(ServicesText("{\"name\": \"\"}")) != "accepted");
}

TEST_CASE("a value of 1 MB is accepted and a larger one is rejected") {
  const std::string service = "{\"services\":[{\"name\":\"a\"}]}";
  const std::string exact = service + std::string(kMaxValueBytes - service.size(), ' ');
  CHECK(FirstError(exact) == "accepted");
  CHECK(FirstError(exact + " ") ==
        "line=1 field=\"\" problem=\"the value has 1048577 bytes\" "
        "expected=\"at most 1048576 bytes\"");
}

// Guards against a text in another format that floods the log with one error for each field.
TEST_CASE("the number of errors is bounded and they are sorted by position") {
  std::string entries;
  for (int i = 0; i < 500; ++i) {
    entries += (i > 0 ? ",\n" : "") + std::string("{\"name\": \"x\", \"weight\": 1}");
  }
  const auto validated = ParseText(ServicesText(entries));
  REQUIRE(validated.errors.size() == kMaxValidationErrors);
  CHECK(validated.errors[0].field == "services[0].weight");
  CHECK(validated.errors[1].field == "services[1].name");
  for (std::size_t i = 1; i < validated.errors.size(); ++i) {
    CHECK(validated.errors[i - 1].line <= validated.errors[i].line);
  }
}

// Guards against a value that forges keys or lines in the printed errors.
TEST_CASE("line breaks of quoted input are escaped in errors") {
  const std::string line = FirstError(ServicesText("{\"name\": \"a\\n line=9\"}"));
  CHECK(line.find('\n') == std::string::npos);
  CHECK(line.find("\\x0a line=9") != std::string::npos);
}

}  // namespace
}  // namespace primroseweir
