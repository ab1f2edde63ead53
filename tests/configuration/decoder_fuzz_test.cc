#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "primroseweir/base/error.h"
#include "primroseweir/base/random.h"
#include "primroseweir/configuration/configuration_patches.h"
#include "primroseweir/configuration/declarations_parser.h"
#include "primroseweir/configuration/instances_parser.h"
#include "primroseweir/configuration/text_parser.h"
#include "primroseweir/configuration/value_limits.h"

namespace primroseweir {
namespace {

constexpr char kText[] =
    "{\"services\": [{\"name\": \"a\", \"depends_on\": [\"b\"], \"calls\": \"repeatable\"},\n"
    "{\"name\": \"b\"}]}";
constexpr char kDeclarations[] = "{\"out\": [\"krems\", \"melk\"]}";
constexpr char kInstances[] =
    "{\"upstreams\":[{\"id\":\"u\",\"service\":\"a\",\"data_centre\":\"krems\",\n"
    "\"address\":\"127.0.0.1:70\",\"slots\":1,\"connections\":2,\"state\":\"leaving\"}]}";
constexpr char kMutationCharacters[] = "{}[]\":,0-9.eE\\utrnfalse \n\x01\x7f\xff\xc3";

// Replaces, erases, duplicates or inserts bytes at random.
std::string Mutate(std::string text, Random* random) {
  for (std::uint64_t i = 1 + random->UniformBelow(4); i > 0; --i) {
    if (text.empty()) return text;
    const std::size_t position = random->UniformBelow(text.size());
    const std::size_t length = 1 + random->UniformBelow(8);
    switch (random->UniformBelow(4)) {
      case 0:
        text[position] = kMutationCharacters[random->UniformBelow(sizeof(kMutationCharacters) - 1)];
        break;
      case 1:
        text.erase(position, length);
        break;
      case 2:
        text.insert(position, text.substr(random->UniformBelow(text.size()), length));
        break;
      default:
        text.insert(position, 1,
                    kMutationCharacters[random->UniformBelow(sizeof(kMutationCharacters) - 1)]);
    }
  }
  return text;
}

template <typename T>
void CheckValidationErrors(const Validated<T>& validated, const std::string& text) {
  const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1;
  REQUIRE(validated.errors.size() <= kMaxValidationErrors);
  std::size_t last_line = 1;
  for (const ValidationError& validation_error : validated.errors) {
    REQUIRE(validation_error.line >= last_line);
    REQUIRE(validation_error.line <= lines);
    REQUIRE_FALSE(validation_error.problem.empty());
    REQUIRE_FALSE(validation_error.expected.empty());
    REQUIRE(FormatValidationError(validation_error).find('\n') == std::string::npos);
    last_line = validation_error.line;
  }
}

// Guards against a damaged value that crashes every instance at the same time.
TEST_CASE("damaged values are accepted or rejected with errors at valid lines") {
  Random random(20261208);
  int accepted = 0;
  for (int round = 0; round < 30'000; ++round) {
    const std::string text = Mutate(kText, &random);
    const auto services = ParseText(text);
    CheckValidationErrors(services, text);
    accepted += services.ok() ? 1 : 0;
    const std::string declarations = Mutate(kDeclarations, &random);
    CheckValidationErrors(ParseDeclarations(declarations), declarations);
    const std::string instances = Mutate(kInstances, &random);
    CheckValidationErrors(ParseInstances(instances), instances);
    CheckValidationErrors(ParseInstancesPart(instances, DataCentre("krems")), instances);
  }
  // Both outcomes must be frequent for the test to be meaningful.
  CHECK(accepted > 100);
  CHECK(accepted < 15'000);
}

// Guards against instances that report different errors for the same text.
TEST_CASE("parsing the same text twice gives the same errors") {
  Random random(20261209);
  for (int round = 0; round < 2'000; ++round) {
    const std::string text = Mutate(kText, &random);
    const auto first = ParseText(text);
    const auto second = ParseText(std::string(text));
    REQUIRE(first.errors.size() == second.errors.size());
    for (std::size_t i = 0; i < first.errors.size(); ++i) {
      REQUIRE(FormatValidationError(first.errors[i]) == FormatValidationError(second.errors[i]));
    }
  }
}

// Guards against a value with many open brackets that exhausts the stack.
TEST_CASE("deeply nested values are rejected without recursion") {
  const std::string text = "{\"services\":" + std::string(1'000'000, '[');
  CHECK_FALSE(ParseText(text).ok());
  const std::string closed = std::string(500'000, '[') + std::string(500'000, ']');
  CHECK_FALSE(ParseText(closed).ok());
  CHECK_FALSE(ParseInstances("{\"upstreams\":" + closed + "}").ok());
}

// Guards against a response of a faulty peer that crashes the instance or is applied without
// checks.
TEST_CASE("damaged responses of a peer are rejected with an error or give values") {
  Random random(20261210);
  const ConfigurationValues base = {{"instances", {Revision(1), kInstances}}};
  ConfigurationPatches patches;
  patches.Record(base);
  std::string changed = kInstances;
  changed.replace(changed.find("leaving"), 7, "live");
  patches.Record({{"instances", {Revision(2), changed}}});
  patches.Record({{"text", {Revision(3), kText}}});
  const std::string response = patches.MakeResponse(Revision(1)).dump();
  int applied = 0;
  for (int round = 0; round < 20'000; ++round) {
    const auto damaged = nlohmann::json::parse(Mutate(response, &random), nullptr, false);
    if (damaged.is_discarded()) continue;
    const auto result = ConfigurationPatches::Apply(damaged, base);
    applied += result.ok() ? 1 : 0;
    if (!result.ok()) REQUIRE_FALSE(OriginOf(result.status()).step.empty());
  }
  CHECK(applied > 0);
}

}  // namespace
}  // namespace primroseweir
