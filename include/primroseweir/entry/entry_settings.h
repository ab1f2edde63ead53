#ifndef PRIMROSEWEIR_ENTRY_ENTRY_SETTINGS_H_
#define PRIMROSEWEIR_ENTRY_ENTRY_SETTINGS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {

// Settings of an entry instance, as in its settings file.
struct EntrySettings {
  InstanceId id;
  DataCentre data_centre;
  SocketAddress caller_address;
  SocketAddress peer_address;
  SocketAddress admin_address;
  // Index of this instance among the `seats` fixed shares of the fleet; below `seats`.
  Seat seat;
  std::uint64_t seat_count = 1;
  std::vector<SocketAddress> configuration_service;
  std::vector<SocketAddress> peers;
  std::string fleet_key;
  std::string operator_token;
};

// Parses the JSON text of a settings file. All fields are required, and unknown fields are refused.
// Errors: InvalidArgument with the name of the field and what is expected.
absl::StatusOr<EntrySettings> ParseEntrySettings(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_ENTRY_SETTINGS_H_
