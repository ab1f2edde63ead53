#include "upstream/settings.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

#include "primroseweir/base/error.h"

namespace primroseweir::standins {
namespace {

using Json = nlohmann::json;

absl::Status Invalid(const std::string& message) {
  return MakeError(absl::StatusCode::kInvalidArgument, {"read settings", ""}, message);
}

SocketAddress ReadAddress(const Json& value) {
  const auto address = ParseSocketAddress(value.get<std::string>());
  if (!address.ok()) throw std::invalid_argument(MessageOf(address.status()));
  return *address;
}

using Setter = std::function<void(const Json&, UpstreamSettings*)>;

template <typename T>
Setter Set(T UpstreamSettings::*member) {
  return [member](const Json& value, UpstreamSettings* out) { out->*member = value.get<T>(); };
}

Setter SetAddress(SocketAddress UpstreamSettings::*member) {
  return [member](const Json& value, UpstreamSettings* out) { out->*member = ReadAddress(value); };
}

const std::map<std::string, Setter>& Setters() {
  static const auto* setters = new std::map<std::string, Setter>{
      {"id", Set(&UpstreamSettings::id)},
      {"address", SetAddress(&UpstreamSettings::address)},
      {"control_address", SetAddress(&UpstreamSettings::control_address)},
      {"slots", Set(&UpstreamSettings::slots)},
      {"queue", Set(&UpstreamSettings::queue)},
      {"connections", Set(&UpstreamSettings::connections)},
      {"service_ms", Set(&UpstreamSettings::service_ms)},
      {"distribution", Set(&UpstreamSettings::distribution)},
      {"seed", Set(&UpstreamSettings::seed)},
      {"probe_cost_ms", Set(&UpstreamSettings::probe_cost_ms)},
      {"cold", Set(&UpstreamSettings::cold)},
      {"cold_calls_per_doubling", Set(&UpstreamSettings::cold_calls_per_doubling)}};
  return *setters;
}

absl::Status Check(const UpstreamSettings& settings) {
  if (settings.id.empty()) return Invalid("field id: is missing");
  if (settings.address.ip.empty()) return Invalid("field address: is missing");
  if (settings.control_address.ip.empty()) return Invalid("field control_address: is missing");
  if (settings.slots == 0) return Invalid("field slots: is 0, expected at least 1");
  if (settings.distribution != "exponential" && settings.distribution != "fixed") {
    return Invalid("field distribution: expected \"exponential\" or \"fixed\"");
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<UpstreamSettings> ParseUpstreamSettings(const std::string& text) {
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object()) return Invalid("is not a JSON object");
  UpstreamSettings settings;
  for (const auto& [name, value] : object.items()) {
    const auto setter = Setters().find(name);
    if (setter == Setters().end()) return Invalid("field " + name + ": is unknown");
    try {
      setter->second(value, &settings);
    } catch (const std::exception& error) {
      return Invalid("field " + name + ": " + error.what());
    }
  }
  if (auto status = Check(settings); !status.ok()) return status;
  return settings;
}

}  // namespace primroseweir::standins
