#include "upstream/modes.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

#include "primroseweir/base/error.h"

namespace primroseweir::standins {
namespace {

using Json = nlohmann::json;
using Setter = std::function<void(const Json&, UpstreamModes*)>;

template <typename T>
Setter Set(T UpstreamModes::*member) {
  return [member](const Json& value, UpstreamModes* out) { out->*member = value.get<T>(); };
}

const std::map<std::string, Setter>& Setters() {
  static const auto* setters = new std::map<std::string, Setter>{
      {"leaving", Set(&UpstreamModes::leaving)},
      {"refuse", Set(&UpstreamModes::refuse)},
      {"shed", Set(&UpstreamModes::shed)},
      {"fail", Set(&UpstreamModes::fail)},
      {"straggle", Set(&UpstreamModes::straggle)},
      {"report_lag_ms", Set(&UpstreamModes::report_lag_ms)},
      {"cut_at", Set(&UpstreamModes::cut_at)},
      {"cut_count", Set(&UpstreamModes::cut_count)},
      {"lose_answer_count", Set(&UpstreamModes::lose_answer_count)},
      {"version", Set(&UpstreamModes::version)}};
  return *setters;
}

absl::Status Invalid(const std::string& message) {
  return MakeError(absl::StatusCode::kInvalidArgument, {"change modes", ""}, message);
}

}  // namespace

absl::Status ChangeModes(const std::string& text, UpstreamModes* modes) {
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object()) return Invalid("is not a JSON object");
  UpstreamModes changed = *modes;
  for (const auto& [name, value] : object.items()) {
    const auto setter = Setters().find(name);
    if (setter == Setters().end()) return Invalid("mode " + name + " is unknown");
    try {
      setter->second(value, &changed);
    } catch (const Json::exception& error) {
      return Invalid("mode " + name + ": " + error.what());
    }
  }
  *modes = changed;
  return absl::OkStatus();
}

}  // namespace primroseweir::standins
