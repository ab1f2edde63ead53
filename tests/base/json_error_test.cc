#include "primroseweir/base/json_error.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace primroseweir {
namespace {

std::string ReasonOf(const std::string& text) {
  try {
    nlohmann::json::parse(text).at("number").get<int>();
  } catch (const std::exception& error) {
    return JsonErrorReason(error);
  }
  return "";
}

// Guards against parts of a text in a log, and against reasons from which nobody finds the error.
TEST_CASE("the reason of a JSON error has the position and not the text", "[base]") {
  CHECK(ReasonOf(R"({"key": "secret" x})") == "invalid JSON at byte 18");
  CHECK(ReasonOf(R"({"key": "secret)") == "invalid JSON at byte 16");
  CHECK(ReasonOf(R"({"key": "secret"})").find("number") != std::string::npos);
  CHECK(ReasonOf(R"({"number": "secret"})").find("secret") == std::string::npos);
  CHECK(JsonErrorReason(std::invalid_argument("out of range")) == "out of range");
}

}  // namespace
}  // namespace primroseweir
