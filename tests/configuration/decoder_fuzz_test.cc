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
constexpr char kPieces[] = "{}[]\":,0-9.eE\\utrnfalse \n\x01\x7f\xff\xc3";

// Changes some bytes, cuts some out, repeats some.
std::string Mutate(std::string text, Random* random) {
  for (std::uint64_t i = 1 + random->Below(4); i > 0; --i) {
    if (text.empty()) return text;
    const std::size_t place = random->Below(text.size());
    const std::size_t length = 1 + random->Below(8);
    switch (random->Below(4)) {
      case 0:
        text[place] = kPieces[random->Below(sizeof(kPieces) - 1)];
        break;
      case 1:
        text.erase(place, length);
        break;
      case 2:
        text.insert(place, text.substr(random->Below(text.size()), length));
        break;
      default:
        text.insert(place, 1, kPieces[random->Below(sizeof(kPieces) - 1)]);
    }
  }
  return text;
}

template <typename T>
void CheckVerdicts(const Validated<T>& checked, const std::string& text) {
  const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1;
  REQUIRE(checked.errors.size() <= kMaxValidationErrors);
  std::size_t last = 1;
  for (const ValidationError& validation_error : checked.errors) {
    REQUIRE(validation_error.line >= last);
    REQUIRE(validation_error.line <= lines);
    REQUIRE_FALSE(validation_error.problem.empty());
    REQUIRE_FALSE(validation_error.expected.empty());
    REQUIRE(FormatValidationError(validation_error).find('\n') == std::string::npos);
    last = validation_error.line;
  }
}

// Guards against a value that crashes every instance at once.
TEST_CASE("damaged values are accepted or refused with verdicts that stand in the value") {
  Random random(20261208);
  int accepted = 0;
  for (int round = 0; round < 30'000; ++round) {
    const std::string text = Mutate(kText, &random);
    const auto services = ParseText(text);
    CheckVerdicts(services, text);
    accepted += services.ok() ? 1 : 0;
    const std::string declarations = Mutate(kDeclarations, &random);
    CheckVerdicts(ParseDeclarations(declarations), declarations);
    const std::string instances = Mutate(kInstances, &random);
    CheckVerdicts(ParseInstances(instances), instances);
    CheckVerdicts(ParseInstancesPart(instances, DataCentre("krems")), instances);
  }
  // Both outcomes must occur, or the round shows little.
  CHECK(accepted > 100);
  CHECK(accepted < 15'000);
}

// Guards against verdicts that differ between instances: the same text gives the same lines.
TEST_CASE("verdicts depend on the text alone") {
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
TEST_CASE("deep nesting is refused without recursion") {
  const std::string text = "{\"services\":" + std::string(1'000'000, '[');
  CHECK_FALSE(ParseText(text).ok());
  const std::string closed = std::string(500'000, '[') + std::string(500'000, ']');
  CHECK_FALSE(ParseText(closed).ok());
  CHECK_FALSE(ParseInstances("{\"upstreams\":" + closed + "}").ok());
}

// Guards against an answer of a faulty peer that crashes the instance or goes in unchecked.
TEST_CASE("damaged answers of a peer are refused or give values") {
  Random random(20261210);
  const ConfigurationValues base = {{"instances", {Revision(1), kInstances}}};
  ConfigurationPatches patches;
  patches.Record(base);
  std::string changed = kInstances;
  changed.replace(changed.find("leaving"), 7, "live");
  patches.Record({{"instances", {Revision(2), changed}}});
  patches.Record({{"text", {Revision(3), kText}}});
  const std::string response = patches.Respond(Revision(1)).dump();
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
