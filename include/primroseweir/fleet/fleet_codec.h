#ifndef PRIMROSEWEIR_FLEET_FLEET_CODEC_H_
#define PRIMROSEWEIR_FLEET_FLEET_CODEC_H_

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "primroseweir/fleet/fleet_message.h"

namespace primroseweir {

// Encodes a message as MessagePack. Linear in its size.
std::string EncodeFleetMessage(const FleetMessage& message);

// Decodes a message. Returns InvalidArgument for anything that EncodeFleetMessage does not write.
absl::StatusOr<FleetMessage> DecodeFleetMessage(std::string_view data);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FLEET_FLEET_CODEC_H_
