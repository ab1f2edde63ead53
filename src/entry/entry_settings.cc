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

absl::Status Wrong(const std::string& field, const std::string& what) {
  return MakeError(absl::StatusCode::kInvalidArgument, {"settings", ""}, field + ": " + what);
}

absl::Status ReadText(const Json& value, const std::string& field, std::string* text) {
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
    return Wrong(field, "expected a text that is not empty");
  }
  *text = value.get<std::string>();
  return absl::OkStatus();
}

absl::Status ReadName(const Json& value, const std::string& field, std::string* name) {
  auto status = ReadText(value, field, name);
  if (!status.ok()) {
    return status;
  }
  const bool allowed = std::all_of(name->begin(), name->end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
  return allowed && name->size() <= kMaxNameBytes
             ? absl::OkStatus()
             : Wrong(field, "expected [a-z0-9-]{1,63}, found \"" + *name + "\"");
}

absl::Status ReadSecret(const Json& value, const std::string& field, std::string* secret) {
  auto status = ReadText(value, field, secret);
  if (status.ok() && secret->size() < kMinSecretBytes) {
    return Wrong(field, "expected at least 8 characters");
  }
  return status;
}

absl::Status ReadNumber(const Json& value, const std::string& field, std::uint64_t* number) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > 1'000'000) {
    return Wrong(field, "expected a whole number from 0 to 1000000, found " + value.dump());
  }
  *number = value.get<std::uint64_t>();
  return absl::OkStatus();
}

absl::Status ReadAddress(const Json& value, const std::string& field, SocketAddress* address) {
  auto parsed = value.is_string() ? ParseSocketAddress(value.get<std::string>())
                                  : absl::StatusOr<SocketAddress>(Wrong(field, ""));
  if (!parsed.ok()) {
    return Wrong(field, "expected \"ip:port\", found " + value.dump());
  }
  *address = *parsed;
  return absl::OkStatus();
}

absl::Status ReadAddresses(const Json& value, const std::string& field,
                           std::vector<SocketAddress>* addresses) {
  if (!value.is_array()) {
    return Wrong(field, "expected a list of \"ip:port\"");
  }
  for (const auto& one : value) {
    SocketAddress address;
    auto status = ReadAddress(one, field, &address);
    if (!status.ok()) {
      return status;
    }
    addresses->push_back(address);
  }
  return absl::OkStatus();
}

using Reader = absl::Status (*)(const Json& value, const std::string& field,
                                EntrySettings* settings);

template <typename Id, Id EntrySettings::*Member>
absl::Status NameInto(const Json& value, const std::string& field, EntrySettings* settings) {
  std::string name;
  auto status = ReadName(value, field, &name);
  settings->*Member = Id(name);
  return status;
}

template <SocketAddress EntrySettings::*Member>
absl::Status AddressInto(const Json& value, const std::string& field, EntrySettings* settings) {
  return ReadAddress(value, field, &(settings->*Member));
}

template <std::vector<SocketAddress> EntrySettings::*Member>
absl::Status AddressesInto(const Json& value, const std::string& field, EntrySettings* settings) {
  return ReadAddresses(value, field, &(settings->*Member));
}

template <std::string EntrySettings::*Member>
absl::Status SecretInto(const Json& value, const std::string& field, EntrySettings* settings) {
  return ReadSecret(value, field, &(settings->*Member));
}

absl::Status SeatInto(const Json& value, const std::string& field, EntrySettings* settings) {
  std::uint64_t number = 0;
  auto status = ReadNumber(value, field, &number);
  settings->seat = Seat(number);
  return status;
}

absl::Status SeatsInto(const Json& value, const std::string& field, EntrySettings* settings) {
  return ReadNumber(value, field, &settings->seats);
}

const std::map<std::string, Reader>& Readers() {
  static const auto* const kReaders = new std::map<std::string, Reader>{
      {"id", &NameInto<InstanceId, &EntrySettings::id>},
      {"data_centre", &NameInto<DataCentre, &EntrySettings::data_centre>},
      {"caller_address", &AddressInto<&EntrySettings::caller_address>},
      {"peer_address", &AddressInto<&EntrySettings::peer_address>},
      {"admin_address", &AddressInto<&EntrySettings::admin_address>},
      {"seat", &SeatInto},
      {"seats", &SeatsInto},
      {"configuration_service", &AddressesInto<&EntrySettings::configuration_service>},
      {"peers", &AddressesInto<&EntrySettings::peers>},
      {"fleet_key", &SecretInto<&EntrySettings::fleet_key>},
      {"operator_token", &SecretInto<&EntrySettings::operator_token>}};
  return *kReaders;
}

absl::Status CheckNames(const Json& object) {
  for (const auto& [name, value] : object.items()) {
    if (Readers().count(name) == 0) {
      return Wrong(name, "unknown field");
    }
  }
  for (const auto& [name, reader] : Readers()) {
    if (!object.contains(name)) {
      return Wrong(name, "field is missing");
    }
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<EntrySettings> ParseEntrySettings(const std::string& text) {
  const auto object = Json::parse(text, nullptr, false);
  if (!object.is_object()) {
    return Wrong("settings", "expected a JSON object");
  }
  auto status = CheckNames(object);
  EntrySettings settings;
  for (auto reader = Readers().begin(); status.ok() && reader != Readers().end(); ++reader) {
    status = reader->second(object.at(reader->first), reader->first, &settings);
  }
  if (!status.ok()) {
    return status;
  }
  if (settings.seats == 0 || settings.seat.value() >= settings.seats) {
    return Wrong("seat", "expected a number below seats");
  }
  if (settings.configuration_service.empty()) {
    return Wrong("configuration_service", "expected at least one address");
  }
  return settings;
}

}  // namespace primroseweir
