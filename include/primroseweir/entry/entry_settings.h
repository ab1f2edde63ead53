#ifndef PRIMROSEWEIR_ENTRY_ENTRY_SETTINGS_H_
#define PRIMROSEWEIR_ENTRY_ENTRY_SETTINGS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {

// Settings of an entry instance, see section 6 of the design.
struct EntrySettings {
  InstanceId id;
  DataCentre data_centre;
  SocketAddress caller_address;
  SocketAddress peer_address;
  SocketAddress admin_address;
  Seat seat;
  std::uint64_t seats = 1;
  std::vector<SocketAddress> configuration_service;
  std::vector<SocketAddress> peers;
  std::string fleet_key;
  std::string operator_token;
};

// Reads the JSON text of a settings file. InvalidArgument names the field, what is wrong and what
// is expected; unknown fields are refused.
absl::StatusOr<EntrySettings> ParseEntrySettings(const std::string& text);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_ENTRY_SETTINGS_H_
