#include "primroseweir/peer/snapshot_codec.h"

#include <nlohmann/json.hpp>

#include "primroseweir/base/error.h"
#include "primroseweir/peer/detail/record_codec.h"

namespace primroseweir {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxKeyBytes = 128;
// The configuration service limits a value to 1 MB.
constexpr std::size_t kMaxValueBytes = 1'000'000;
// Exceeds the possible number of data centres, each of which can add one key for its part of the
// instance list.
constexpr std::size_t kMaxKeys = 256;
constexpr std::size_t kMaxObservations = 100'000;

absl::Status DecodeError(const std::string& peer, const std::string& message) {
  return MakeError(absl::StatusCode::kInvalidArgument, {"decode snapshot", peer}, message);
}

// Serialises without throwing: a byte that is not valid UTF-8 becomes the replacement character.
// Values in force are valid JSON, so they contain no such byte.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Returns the value of `field` in the JSON object in `text`, or a discarded value unless the object
// has exactly this field.
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
  return value->text.size() <= kMaxValueBytes;
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
  if (entries.size() > kMaxKeys) return DecodeError(peer, "too many keys");
  ConfigurationValues values;
  for (const auto& [key, entry] : entries.items()) {
    ConfigurationValue value;
    if (key.empty() || key.size() > kMaxKeyBytes || !ReadValue(entry, &value)) {
      return DecodeError(
          peer, "key \"" + key.substr(0, kMaxKeyBytes) +
                    "\" is empty, too long or does not hold [revision, text of at most 1 MB]");
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
  if (records.size() > kMaxObservations) return DecodeError(peer, "too many observations");
  std::vector<UpstreamObservation> observations;
  std::string error;
  for (const json& record : records) {
    observations.push_back(detail::ObservationFromJson(record, &error));
    if (!error.empty()) return DecodeError(peer, error);
  }
  return observations;
}

}  // namespace primroseweir
