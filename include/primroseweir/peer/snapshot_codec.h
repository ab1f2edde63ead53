#ifndef PRIMROSEWEIR_PEER_SNAPSHOT_CODEC_H_
#define PRIMROSEWEIR_PEER_SNAPSHOT_CODEC_H_

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "primroseweir/configuration/configuration_values.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// Encodes and decodes the JSON texts of the snapshot transfer. Decoders fail with InvalidArgument,
// which carries the step "decode snapshot" and `peer`. All are linear in the length.

std::string EncodeConfigurationValues(const ConfigurationValues& values);
absl::StatusOr<ConfigurationValues> DecodeConfigurationValues(const std::string& text,
                                                              const std::string& peer);

std::string EncodeObservations(const std::vector<UpstreamObservation>& observations);
absl::StatusOr<std::vector<UpstreamObservation>> DecodeObservations(const std::string& text,
                                                                    const std::string& peer);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_SNAPSHOT_CODEC_H_
