#include "primroseweir/peer/snapshot_codec.h"

#include <nlohmann/json.hpp>

#include "primroseweir/base/error.h"
#include "primroseweir/peer/detail/record_codec.h"

namespace primroseweir {
namespace {

using nlohmann::json;

constexpr std::size_t kMaximumKeyBytes = 128;
// A value of the configuration service holds at most 1 MB.
constexpr std::size_t kMaximumValueBytes = 1'000'000;
// More keys than data centres can ever give parts of the instance list.
constexpr std::size_t kMaximumKeys = 256;
constexpr std::size_t kMaximumObservations = 100'000;

absl::Status DecodeError(const std::string& peer, const std::string& message) {
  return MakeError(absl::StatusCode::kInvalidArgument, {"decode snapshot", peer}, message);
}

// Dumps without an exception: a byte that is not UTF-8 becomes the replacement character. Values in
// force are valid JSON, so none of them has such a byte.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// The array or object named `field` of the object in `text`; discarded when there is none.
json ReadField(const std::string& text, const char* field) {
  json value = json::parse(text, nullptr, false);
  if (!value.is_object() || value.size() != 1 || !value.contains(field)) {
    return json(json::value_t::discarded);
  }
  return std::move(value[field]);
}

bool ReadValue(const json& entry, ConfigurationValue* value) {
  if (!entry.is_array() || entry.size() != 2) return false;
  if (!entry[0].is_number_unsigned() || !entry[1].is_string()) return false;
  value->revision = Revision(entry[0].get<std::uint64_t>());
  value->text = entry[1].get<std::string>();
  return value->text.size() <= kMaximumValueBytes;
}

}  // namespace

std::string EncodeConfigurationValues(const ConfigurationValues& values) {
  json entries = json::object();
  for (const auto& [key, value] : values) {
    entries[key] = json::array({value.revision.value(), value.text});
  }
  json body;
  body["values"] = std::move(entries);
  return Dump(body);
}

absl::StatusOr<ConfigurationValues> DecodeConfigurationValues(const std::string& text,
                                                              const std::string& peer) {
  const json entries = ReadField(text, "values");
  if (!entries.is_object()) return DecodeError(peer, "no object \"values\"");
  if (entries.size() > kMaximumKeys) return DecodeError(peer, "too many keys");
  ConfigurationValues values;
  for (const auto& [key, entry] : entries.items()) {
    ConfigurationValue value;
    if (key.empty() || key.size() > kMaximumKeyBytes || !ReadValue(entry, &value)) {
      return DecodeError(peer, "key \"" + key.substr(0, kMaximumKeyBytes) +
                                   "\" is not [revision, text of at most 1 MB]");
    }
    values.emplace(key, std::move(value));
  }
  return values;
}

std::string EncodeObservations(const std::vector<UpstreamObservation>& observations) {
  json records = json::array();
  for (const UpstreamObservation& observation : observations) {
    records.push_back(detail::ObservationToJson(observation));
  }
  json body;
  body["observations"] = std::move(records);
  return Dump(body);
}

absl::StatusOr<std::vector<UpstreamObservation>> DecodeObservations(const std::string& text,
                                                                    const std::string& peer) {
  const json records = ReadField(text, "observations");
  if (!records.is_array()) return DecodeError(peer, "no array \"observations\"");
  if (records.size() > kMaximumObservations) return DecodeError(peer, "too many observations");
  std::vector<UpstreamObservation> observations;
  std::string error;
  for (const json& record : records) {
    observations.push_back(detail::ObservationFromJson(record, &error));
    if (!error.empty()) return DecodeError(peer, error);
  }
  return observations;
}

}  // namespace primroseweir
