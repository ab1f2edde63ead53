#include "upstream/settings.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>

#include "primroseweir/base/error.h"

namespace primroseweir::standins {
namespace {

using Json = nlohmann::json;

absl::Status BadSettings(const std::string& message) {
  return MakeError(absl::StatusCode::kInvalidArgument, {"read settings", ""}, message);
}

SocketAddress ReadAddress(const Json& value) {
  const auto address = ParseSocketAddress(value.get<std::string>());
  if (!address.ok()) throw std::invalid_argument(MessageOf(address.status()));
  return *address;
}

using Setter = std::function<void(const Json&, UpstreamSettings*)>;

template <typename T>
Setter MakeSetter(T UpstreamSettings::*member) {
  return [member](const Json& value, UpstreamSettings* out) { out->*member = value.get<T>(); };
}

Setter MakeAddressSetter(SocketAddress UpstreamSettings::*member) {
  return [member](const Json& value, UpstreamSettings* out) { out->*member = ReadAddress(value); };
}

const std::map<std::string, Setter>& Setters() {
  static const auto* setters = new std::map<std::string, Setter>{
      {"id", MakeSetter(&UpstreamSettings::id)},
      {"address", MakeAddressSetter(&UpstreamSettings::address)},
      {"control_address", MakeAddressSetter(&UpstreamSettings::control_address)},
      {"slots", MakeSetter(&UpstreamSettings::slots)},
      {"queue", MakeSetter(&UpstreamSettings::queue)},
      {"connections", MakeSetter(&UpstreamSettings::connections)},
      {"service_ms", MakeSetter(&UpstreamSettings::service_ms)},
      {"distribution", MakeSetter(&UpstreamSettings::distribution)},
      {"seed", MakeSetter(&UpstreamSettings::seed)},
      {"probe_cost_ms", MakeSetter(&UpstreamSettings::probe_cost_ms)},
      {"cold", MakeSetter(&UpstreamSettings::cold)},
      {"cold_calls_per_doubling", MakeSetter(&UpstreamSettings::cold_calls_per_doubling)}};
  return *setters;
}

absl::Status CheckSettings(const UpstreamSettings& settings) {
  if (settings.id.empty()) return BadSettings("field id: is missing");
  if (settings.address.ip.empty()) return BadSettings("field address: is missing");
  if (settings.control_address.ip.empty()) return BadSettings("field control_address: is missing");
  if (settings.slots == 0) return BadSettings("field slots: is 0, expected at least 1");
  if (settings.distribution != "exponential" && settings.distribution != "fixed") {
    return BadSettings("field distribution: expected \"exponential\" or \"fixed\"");
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<UpstreamSettings> ParseUpstreamSettings(const std::string& text) {
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object()) return BadSettings("is not a JSON object");
  UpstreamSettings settings;
  for (const auto& [name, value] : object.items()) {
    const auto setter = Setters().find(name);
    if (setter == Setters().end()) return BadSettings("field " + name + ": is unknown");
    try {
      setter->second(value, &settings);
    } catch (const std::exception& error) {
      return BadSettings("field " + name + ": " + error.what());
    }
  }
  if (auto status = CheckSettings(settings); !status.ok()) return status;
  return settings;
}

}  // namespace primroseweir::standins
