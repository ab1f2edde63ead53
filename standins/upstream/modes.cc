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
Setter MakeSetter(T UpstreamModes::*member) {
  return [member](const Json& value, UpstreamModes* out) { out->*member = value.get<T>(); };
}

const std::map<std::string, Setter>& Setters() {
  static const auto* setters = new std::map<std::string, Setter>{
      {"leaving", MakeSetter(&UpstreamModes::leaving)},
      {"refuse", MakeSetter(&UpstreamModes::refuse)},
      {"shed", MakeSetter(&UpstreamModes::shed)},
      {"fail", MakeSetter(&UpstreamModes::fail)},
      {"straggle", MakeSetter(&UpstreamModes::straggle)},
      {"report_lag_ms", MakeSetter(&UpstreamModes::report_lag_ms)},
      {"cut_at", MakeSetter(&UpstreamModes::cut_at)},
      {"cut_count", MakeSetter(&UpstreamModes::cut_count)},
      {"lose_answer_count", MakeSetter(&UpstreamModes::lose_answer_count)},
      {"version", MakeSetter(&UpstreamModes::version)}};
  return *setters;
}

absl::Status InvalidModes(const std::string& message) {
  return MakeError(absl::StatusCode::kInvalidArgument, {"change modes", ""}, message);
}

}  // namespace

absl::Status ChangeModes(const std::string& text, UpstreamModes* modes) {
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object()) return InvalidModes("is not a JSON object");
  UpstreamModes changed = *modes;
  for (const auto& [name, value] : object.items()) {
    const auto setter = Setters().find(name);
    if (setter == Setters().end()) return InvalidModes("mode " + name + " is unknown");
    try {
      setter->second(value, &changed);
    } catch (const Json::exception& error) {
      return InvalidModes("mode " + name + ": " + error.what());
    }
  }
  *modes = changed;
  return absl::OkStatus();
}

}  // namespace primroseweir::standins
