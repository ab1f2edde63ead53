#include "primroseweir/entry/entry_settings.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "primroseweir/base/error.h"

namespace primroseweir {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameBytes = 63;
constexpr std::size_t kMinSecretBytes = 8;

absl::Status InvalidField(const std::string& field, const std::string& problem) {
  return MakeError(absl::StatusCode::kInvalidArgument, {"settings", ""}, field + ": " + problem);
}

absl::Status ReadNonEmptyString(const Json& value, const std::string& field, std::string* text) {
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    return InvalidField(field, "expected a non-empty string");
  }
  *text = value.get<std::string>();
  return absl::OkStatus();
}

// Reads a string of 1 to 63 characters of a-z, 0-9 and '-'.
absl::Status ReadName(const Json& value, const std::string& field, std::string* name) {
  auto status = ReadNonEmptyString(value, field, name);
  if (!status.ok()) {
    return status;
  }
  const bool is_allowed = std::all_of(name->begin(), name->end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
  return is_allowed && name->size() <= kMaxNameBytes
             ? absl::OkStatus()
             : InvalidField(field, "expected [a-z0-9-]{1,63}, found \"" + *name + "\"");
}

absl::Status ReadSecret(const Json& value, const std::string& field, std::string* secret) {
  auto status = ReadNonEmptyString(value, field, secret);
  if (status.ok() && secret->size() < kMinSecretBytes) {
    return InvalidField(field, "expected at least 8 characters");
  }
  return status;
}

absl::Status ReadNumber(const Json& value, const std::string& field, std::uint64_t* number) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > 1'000'000) {
    return InvalidField(field, "expected an integer from 0 to 1000000, found " + value.dump());
  }
  *number = value.get<std::uint64_t>();
  return absl::OkStatus();
}

absl::Status ReadAddress(const Json& value, const std::string& field, SocketAddress* address) {
  auto parsed = value.is_string() ? ParseSocketAddress(value.get<std::string>())
                                  : absl::StatusOr<SocketAddress>(InvalidField(field, ""));
  if (!parsed.ok()) {
    return InvalidField(field, "expected \"ip:port\", found " + value.dump());
  }
  *address = *parsed;
  return absl::OkStatus();
}

absl::Status ReadAddresses(const Json& value, const std::string& field,
                           std::vector<SocketAddress>* addresses) {
  if (!value.is_array()) {
    return InvalidField(field, "expected an array of \"ip:port\" strings");
  }
  for (const auto& item : value) {
    SocketAddress address;
    auto status = ReadAddress(item, field, &address);
    if (!status.ok()) {
      return status;
    }
    addresses->push_back(address);
  }
  return absl::OkStatus();
}

// Parses the value of `field` into its member of `settings`.
using FieldParser = absl::Status (*)(const Json& value, const std::string& field,
                                     EntrySettings* settings);

template <typename Id, Id EntrySettings::*Member>
absl::Status ParseNameField(const Json& value, const std::string& field, EntrySettings* settings) {
  std::string name;
  auto status = ReadName(value, field, &name);
  settings->*Member = Id(name);
  return status;
}

template <SocketAddress EntrySettings::*Member>
absl::Status ParseAddressField(const Json& value, const std::string& field,
                               EntrySettings* settings) {
  return ReadAddress(value, field, &(settings->*Member));
}

template <std::vector<SocketAddress> EntrySettings::*Member>
absl::Status ParseAddressesField(const Json& value, const std::string& field,
                                 EntrySettings* settings) {
  return ReadAddresses(value, field, &(settings->*Member));
}

template <std::string EntrySettings::*Member>
absl::Status ParseSecretField(const Json& value, const std::string& field,
                              EntrySettings* settings) {
  return ReadSecret(value, field, &(settings->*Member));
}

absl::Status ParseSeatField(const Json& value, const std::string& field, EntrySettings* settings) {
  std::uint64_t number = 0;
  auto status = ReadNumber(value, field, &number);
  settings->seat = Seat(number);
  return status;
}

absl::Status ParseSeatsField(const Json& value, const std::string& field, EntrySettings* settings) {
  return ReadNumber(value, field, &settings->seat_count);
}

const std::map<std::string, FieldParser>& FieldParsers() {
  static const auto* const kParsers = new std::map<std::string, FieldParser>{
      {"id", &ParseNameField<InstanceId, &EntrySettings::id>},
      {"data_centre", &ParseNameField<DataCentre, &EntrySettings::data_centre>},
      {"caller_address", &ParseAddressField<&EntrySettings::caller_address>},
      {"peer_address", &ParseAddressField<&EntrySettings::peer_address>},
      {"admin_address", &ParseAddressField<&EntrySettings::admin_address>},
      {"seat", &ParseSeatField},
      {"seats", &ParseSeatsField},
      {"configuration_service", &ParseAddressesField<&EntrySettings::configuration_service>},
      {"peers", &ParseAddressesField<&EntrySettings::peers>},
      {"fleet_key", &ParseSecretField<&EntrySettings::fleet_key>},
      {"operator_token", &ParseSecretField<&EntrySettings::operator_token>}};
  return *kParsers;
}

// Checks that no field is unknown and none is missing.
absl::Status CheckFieldNames(const Json& object) {
  for (const auto& [name, value] : object.items()) {
    if (FieldParsers().count(name) == 0) {
      return InvalidField(name, "unknown field");
    }
  }
  for (const auto& [name, parser] : FieldParsers()) {
    if (!object.contains(name)) {
      return InvalidField(name, "field is missing");
    }
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<EntrySettings> ParseEntrySettings(const std::string& text) {
  const auto object = Json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return InvalidField("settings", "expected a JSON object");
  }
  auto status = CheckFieldNames(object);
  EntrySettings settings;
  for (auto parser = FieldParsers().begin(); status.ok() && parser != FieldParsers().end();
       ++parser) {
    status = parser->second(object.at(parser->first), parser->first, &settings);
  }
  if (!status.ok()) {
    return status;
  }
  if (settings.seat_count == 0 || settings.seat.value() >= settings.seat_count) {
    return InvalidField("seat", "expected a number below seats");
  }
  if (settings.configuration_service.empty()) {
    return InvalidField("configuration_service", "expected at least one address");
  }
  return settings;
}

}  // namespace primroseweir
